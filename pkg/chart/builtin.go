package chart

import (
	"embed"
	"fmt"
)

//go:embed charts/*.toml
var files embed.FS

// Builtin returns one of the charts that are embedded in this package: "group",
// "server", "datacentre" or "request". It panics if there is no chart with the name.
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
