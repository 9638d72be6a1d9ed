package chart

import (
	"embed"
	"fmt"
)

//go:embed charts/*.toml
var files embed.FS

// Builtin returns one of the charts of this module: "group", "server",
// "datacentre" or "request". It panics when there is none of the name.
func Builtin(name string) Chart {
	file := "charts/" + name + ".toml"
	data, err := files.ReadFile(file)
	if err != nil {
		panic(fmt.Sprintf("chart %q is not built in", name))
	}
	c, err := Parse(file, data)
	if err != nil {
		panic(err)
	}
	return c
}
