package fleet

import (
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Position is a position in a file. Lines and columns start at 1.
type Position struct{ Line, Column int }

// Positions maps the path of each key of a TOML document to its position. The parts of a
// path are joined by dots. An element of an array is a part with its index, which starts
// at 0, for example "Preset.1.Route.0.Groups".
type Positions map[string]Position

// join appends a part to a path.
func join(path, part string) string {
	if path == "" {
		return part
	}
	return path + "." + part
}

// Finding returns a finding about the key at the path. If the document has no such key,
// the position is that of the nearest enclosing table.
func (p Positions) Finding(file, path, message string) Finding {
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
func keyPositions(data []byte) Positions {
	collector := positionCollector{positions: make(Positions), elements: make(map[string]int)}
	collector.parser.Reset(data)
	table := ""
	for collector.parser.NextExpression() {
		e := collector.parser.Expression()
		switch e.Kind {
		case unstable.Table:
			table = collector.addKey("", e.Key())
		case unstable.ArrayTable:
			table = collector.addElement(collector.addKey("", e.Key()), e.Key())
		case unstable.KeyValue:
			collector.addKeyValue(table, e)
		}
	}
	return collector.positions
}

// positionCollector collects positions from the parser's syntax tree.
type positionCollector struct {
	parser    unstable.Parser
	positions Positions
	elements  map[string]int // number of elements so far of each array of tables
}

// addPosition adds the position of a node. If the path is already there, the first
// position remains.
func (c *positionCollector) addPosition(path string, n *unstable.Node) {
	if _, ok := c.positions[path]; ok {
		return
	}
	start := c.parser.Shape(n.Raw).Start
	c.positions[path] = Position{Line: start.Line, Column: start.Column}
}

// addKey adds each part of a dotted key and returns its path. A part that is an array
// of tables refers to the last element so far.
func (c *positionCollector) addKey(path string, parts unstable.Iterator) string {
	for parts.Next() {
		if n := c.elements[path]; n > 0 {
			path = join(path, strconv.Itoa(n-1))
		}
		path = join(path, string(parts.Node().Data))
		c.addPosition(path, parts.Node())
	}
	return path
}

// addElement adds a new element of an array of tables and returns its path.
func (c *positionCollector) addElement(path string, parts unstable.Iterator) string {
	n := c.elements[path]
	c.elements[path]++
	path = join(path, strconv.Itoa(n))
	if parts.Next() {
		c.addPosition(path, parts.Node())
	}
	return path
}

// addKeyValue adds a key, and the elements and keys of its value.
func (c *positionCollector) addKeyValue(table string, n *unstable.Node) {
	path := c.addKey(table, n.Key())
	c.addValue(path, n.Value())
}

// addValue adds the elements of an array or the keys of an inline table.
func (c *positionCollector) addValue(path string, n *unstable.Node) {
	children := n.Children()
	switch n.Kind {
	case unstable.Array:
		for i := 0; children.Next(); i++ {
			element := join(path, strconv.Itoa(i))
			c.addPosition(element, children.Node())
			c.addValue(element, children.Node())
		}
	case unstable.InlineTable:
		for children.Next() {
			c.addKeyValue(path, children.Node())
		}
	}
}
