package fleet

import (
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Place is a position in a file; 1 is the first line and the first column.
type Place struct{ Line, Column int }

// Positions maps the path of each key of a TOML document to its place. The parts
// of a path are joined by dots; an element of an array has its index as a
// part, 0 being the first: "Preset.1.Route.0.Groups".
type Positions map[string]Place

// join appends a part to a path.
func join(path, part string) string {
	if path == "" {
		return part
	}
	return path + "." + part
}

// Finding returns a finding about the key at the path. When the document has
// no such key, the place is that of the nearest table around it.
func (p Positions) Finding(file, path, message string) Finding {
	f := Finding{File: file, Line: 1, Column: 1, Key: path, Message: message}
	for at := path; at != ""; {
		if place, ok := p[at]; ok {
			f.Line, f.Column = place.Line, place.Column
			return f
		}
		cut := strings.LastIndexByte(at, '.')
		at = at[:max(cut, 0)]
	}
	return f
}

// placesOf returns the places of all keys of a document without syntax errors.
func placesOf(data []byte) Positions {
	w := placeWalk{places: make(Positions), lengths: make(map[string]int)}
	w.parser.Reset(data)
	table := ""
	for w.parser.NextExpression() {
		e := w.parser.Expression()
		switch e.Kind {
		case unstable.Table:
			table = w.key("", e.Key())
		case unstable.ArrayTable:
			table = w.element(w.key("", e.Key()), e.Key())
		case unstable.KeyValue:
			w.keyValue(table, e)
		}
	}
	return w.places
}

// placeWalk collects places from the parser's syntax tree.
type placeWalk struct {
	parser  unstable.Parser
	places  Positions
	lengths map[string]int // elements seen of each array of tables
}

// at records the place of a node.
func (w *placeWalk) at(path string, n *unstable.Node) {
	if _, ok := w.places[path]; ok {
		return
	}
	start := w.parser.Shape(n.Raw).Start
	w.places[path] = Place{Line: start.Line, Column: start.Column}
}

// key records each part of a dotted key and returns its path. A part that is
// an array of tables stands for its last element.
func (w *placeWalk) key(path string, parts unstable.Iterator) string {
	for parts.Next() {
		if n := w.lengths[path]; n > 0 {
			path = join(path, strconv.Itoa(n-1))
		}
		path = join(path, string(parts.Node().Data))
		w.at(path, parts.Node())
	}
	return path
}

// element records a new element of an array of tables.
func (w *placeWalk) element(path string, parts unstable.Iterator) string {
	n := w.lengths[path]
	w.lengths[path]++
	path = join(path, strconv.Itoa(n))
	if parts.Next() {
		w.at(path, parts.Node())
	}
	return path
}

// keyValue records a key and what its value holds.
func (w *placeWalk) keyValue(table string, n *unstable.Node) {
	path := w.key(table, n.Key())
	w.value(path, n.Value())
}

// value records the elements of an array and the keys of an inline table.
func (w *placeWalk) value(path string, n *unstable.Node) {
	children := n.Children()
	switch n.Kind {
	case unstable.Array:
		for i := 0; children.Next(); i++ {
			element := join(path, strconv.Itoa(i))
			w.at(element, children.Node())
			w.value(element, children.Node())
		}
	case unstable.InlineTable:
		for children.Next() {
			w.keyValue(path, children.Node())
		}
	}
}
