package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

func printJSON(out io.Writer, value any) {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}

// printTable prints rows in aligned columns. The first row is the heading.
func printTable(out io.Writer, rows [][]string) {
	const padding = 2
	table := tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	_ = table.Flush()
}
