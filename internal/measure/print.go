package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
)

// Print writes the table with aligned columns.
func (t Table) Print(out io.Writer) error {
	const padding = 2
	w := tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(t.Columns, "\t")))
	for _, row := range t.Rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "seed %d. %s\n", t.Seed, t.Note)
	return err
}

// WriteJSON writes the table to a file.
func (t Table) WriteJSON(file string) error {
	data, err := json.MarshalIndent(t, "", "\t")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), 0o644)
}
