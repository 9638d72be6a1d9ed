package measure

import (
	"bytes"
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	chartWidth    = 6 * vg.Centimeter // bars of one column
	labelWidth    = 8 * vg.Centimeter
	rowHeight     = vg.Centimeter / 2
	frameHeight   = 2 * vg.Centimeter
	barHeight     = vg.Centimeter / 3
	labelSize     = font.Length(7)
	titleSize     = font.Length(9)
	maxLabelRunes = 60
)

// Plot writes the numeric columns of the table as bar charts, side by side. The
// extension of the file, .svg or .png, selects the format.
func (t Table) Plot(file string) error {
	columns := t.numericColumns()
	if len(columns) == 0 {
		return fmt.Errorf("table %q has no numeric column", t.Name)
	}
	var charts []*plot.Plot
	for n, column := range columns {
		chart, err := t.chart(column, n == 0, plotutil.Color(n))
		if err != nil {
			return err
		}
		charts = append(charts, chart)
	}
	image, err := drawCharts(charts, len(t.Rows), strings.ToLower(filepath.Ext(file)))
	if err != nil {
		return err
	}
	return os.WriteFile(file, image, 0o644)
}

func drawCharts(charts []*plot.Plot, rows int, extension string) ([]byte, error) {
	width := labelWidth + chartWidth*vg.Length(len(charts))
	height := frameHeight + rowHeight*vg.Length(rows)
	var out bytes.Buffer
	switch extension {
	case ".svg":
		canvas := vgsvg.New(width, height)
		drawSideBySide(charts, draw.New(canvas))
		_, err := canvas.WriteTo(&out)
		return out.Bytes(), err
	case ".png":
		canvas := vgimg.New(width, height)
		drawSideBySide(charts, draw.New(canvas))
		_, err := vgimg.PngCanvas{Canvas: canvas}.WriteTo(&out)
		return out.Bytes(), err
	}
	return nil, fmt.Errorf("plot format %q is neither .svg nor .png", extension)
}

// drawSideBySide draws the charts next to each other. The first one is wider, since
// it has the labels.
func drawSideBySide(charts []*plot.Plot, canvas draw.Canvas) {
	left := vg.Length(0)
	width := canvas.Max.X - canvas.Min.X
	for n, chart := range charts {
		right := labelWidth + chartWidth*vg.Length(n+1)
		chart.Draw(draw.Crop(canvas, left, right-width, 0, 0))
		left = right
	}
}

// chart draws one column as horizontal bars, with the first row at the top. A cell
// without a number has a bar of length 0.
func (t Table) chart(column int, labelled bool, fill color.Color) (*plot.Plot, error) {
	chart := plot.New()
	chart.Title.Text = t.Columns[column]
	chart.Title.TextStyle.Font.Size = titleSize
	values := make(plotter.Values, len(t.Rows))
	labels := make([]string, len(t.Rows))
	for n, row := range t.Rows {
		place := len(t.Rows) - 1 - n
		values[place], _ = number(row[column])
		if labelled {
			labels[place] = t.label(row)
		}
	}
	bars, err := plotter.NewBarChart(values, barHeight)
	if err != nil {
		return nil, err
	}
	bars.Horizontal = true
	bars.Color = fill
	bars.LineStyle.Width = 0
	chart.Add(bars)
	chart.NominalY(labels...)
	chart.Y.Tick.Label.Font.Size = labelSize
	chart.X.Tick.Label.Font.Size = labelSize
	chart.X.Min = min(0, chart.X.Min)
	return chart, nil
}

// label joins the cells before the first numeric column and truncates the result.
func (t Table) label(row []string) string {
	end := max(1, t.numericColumns()[0])
	label := strings.Join(row[:end], ", ")
	if runes := []rune(label); len(runes) > maxLabelRunes {
		return string(runes[:maxLabelRunes]) + "…"
	}
	return label
}

// numericColumns returns the columns in which most cells hold a number. The first
// column always counts as labels.
func (t Table) numericColumns() []int {
	var columns []int
	for column := 1; column < len(t.Columns); column++ {
		numbers := 0
		for _, row := range t.Rows {
			if _, ok := number(row[column]); ok {
				numbers++
			}
		}
		if numbers*2 > len(t.Rows) {
			columns = append(columns, column)
		}
	}
	return columns
}

var leadingNumber = regexp.MustCompile(`^[-+]?[0-9]+(\.[0-9]+)?([eE][-+]?[0-9]+)?`)

// number parses a cell as a duration, in seconds, or else the number at its start.
func number(cell string) (float64, bool) {
	cell = strings.TrimSpace(cell)
	if d, err := time.ParseDuration(cell); err == nil {
		return d.Seconds(), true
	}
	value, err := strconv.ParseFloat(leadingNumber.FindString(cell), 64)
	return value, err == nil
}
