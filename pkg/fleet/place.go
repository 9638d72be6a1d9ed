package fleet

import (
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Position is a position in a file. Lines and columns start at 1.
type Position struct{ Line, Column int }

// Places maps the path of each key of a TOML document to its position. The parts of a
// path are joined by dots. An element of an array is a part with its index, which starts
// at 0, for example "Preset.1.Route.0.Groups".
type Places map[string]Position

// join appends a part to a path.
func join(path, part string) string {
	if path == "" {
		return part
	}
	return path + "." + part
}

// Finding returns a finding about the key at the path. If the document has no such key,
// the position is that of the nearest enclosing table.
func (p Places) Finding(file, path, message string) Finding {
	f := Finding{File: file, Line: 1, Column: 1, Key: path, Message: message}
	for ancestor := path; ancestor != ""; {
		if position, ok := p[ancestor]; ok {
			f.Line, f.Column = position.Line, position.Column
			return f
		}
		lastDot := strings.LastIndexByte(ancestor, '.')
		ancestor = ancestor[:max(lastDot, 0)]
	}
	return f
}

// keyPositions returns the positions of all keys of a document, which must have no syntax
// errors.
func keyPositions(data []byte) Places {
	w := positionCollector{positions: make(Places), elements: make(map[string]int)}
	w.parser.Reset(data)
	table := ""
	for w.parser.NextExpression() {
		e := w.parser.Expression()
		switch e.Kind {
		case unstable.Table:
			table = w.addKey("", e.Key())
		case unstable.ArrayTable:
			table = w.addElement(w.addKey("", e.Key()), e.Key())
		case unstable.KeyValue:
			w.addKeyValue(table, e)
		}
	}
	return w.positions
}

// positionCollector collects positions from the parser's syntax tree.
type positionCollector struct {
	parser    unstable.Parser
	positions Places
	elements  map[string]int // number of elements so far of each array of tables
}

// addPosition adds the position of a node. If the path is already there, the first
// position remains.
func (w *positionCollector) addPosition(path string, n *unstable.Node) {
	if _, ok := w.positions[path]; ok {
		return
	}
	start := w.parser.Shape(n.Raw).Start
	w.positions[path] = Position{Line: start.Line, Column: start.Column}
}

// addKey adds each part of a dotted key and returns its path. A part that is an array
// of tables refers to the last element so far.
func (w *positionCollector) addKey(path string, parts unstable.Iterator) string {
	for parts.Next() {
		if n := w.elements[path]; n > 0 {
			path = join(path, strconv.Itoa(n-1))
		}
		path = join(path, string(parts.Node().Data))
		w.addPosition(path, parts.Node())
	}
	return path
}

// addElement adds a new element of an array of tables and returns its path.
func (w *positionCollector) addElement(path string, parts unstable.Iterator) string {
	n := w.elements[path]
	w.elements[path]++
	path = join(path, strconv.Itoa(n))
	if parts.Next() {
		w.addPosition(path, parts.Node())
	}
	return path
}

// addKeyValue adds a key, and the elements and keys of its value.
func (w *positionCollector) addKeyValue(table string, n *unstable.Node) {
	path := w.addKey(table, n.Key())
	w.addValue(path, n.Value())
}

// addValue adds the elements of an array or the keys of an inline table.
func (w *positionCollector) addValue(path string, n *unstable.Node) {
	children := n.Children()
	switch n.Kind {
	case unstable.Array:
		for i := 0; children.Next(); i++ {
			element := join(path, strconv.Itoa(i))
			w.addPosition(element, children.Node())
			w.addValue(element, children.Node())
		}
	case unstable.InlineTable:
		for children.Next() {
			w.addKeyValue(path, children.Node())
		}
	}
}
