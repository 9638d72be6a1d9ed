package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Decode decodes a TOML document into the struct that into points to. It returns the
// positions of the keys, and all findings. A key must equal the name or the toml tag of
// a field, including case. A time.Duration is a string with a unit, such as "2s".
// file is the file name in findings. The positions are nil if the document has a syntax
// error.
func Decode(file string, data []byte, into any) (Positions, Findings) {
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		return nil, Findings{syntaxFinding(file, err)}
	}
	d := decoder{file: file, positions: keyPositions(data)}
	d.decodeTable("", tree, reflect.ValueOf(into).Elem())
	return d.positions, d.findings.sorted()
}

// syntaxFinding converts an error of the TOML library to a finding.
func syntaxFinding(file string, err error) Finding {
	f := Finding{File: file, Line: 1, Column: 1, Message: strings.TrimPrefix(err.Error(), "toml: ")}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		f.Line, f.Column = decodeErr.Position()
		f.Key = strings.Join(decodeErr.Key(), ".")
	}
	return f
}

// decoder copies a tree of TOML values into structs.
type decoder struct {
	file      string
	positions Positions
	findings  Findings
}

// addFinding adds a finding about the key at the path.
func (d *decoder) addFinding(path, format string, args ...any) {
	d.findings = append(d.findings, d.positions.Finding(d.file, path, fmt.Sprintf(format, args...)))
}

// decodeTable copies the table at the path into a struct.
func (d *decoder) decodeTable(path string, tree map[string]any, into reflect.Value) {
	fields := make(map[string]reflect.Value)
	for i := range into.NumField() {
		field := into.Type().Field(i)
		fields[cmp.Or(field.Tag.Get("toml"), field.Name)] = into.Field(i)
	}
	for _, key := range slices.Sorted(maps.Keys(tree)) {
		keyPath := join(path, key)
		field, ok := fields[key]
		if !ok {
			d.addFinding(keyPath, "unknown key%s", suggestion(key, fields))
			continue
		}
		d.decodeValue(keyPath, tree[key], field)
	}
}

// suggestion returns a hint if a known key differs from key only in case.
func suggestion(key string, fields map[string]reflect.Value) string {
	for known := range fields {
		if strings.EqualFold(known, key) {
			return fmt.Sprintf(", did you mean %q", known)
		}
	}
	return ""
}

// decodeValue copies the value at the path into a field.
func (d *decoder) decodeValue(path string, v any, into reflect.Value) {
	if into.Type() == reflect.TypeFor[time.Duration]() {
		d.decodeDuration(path, v, into)
		return
	}
	switch into.Kind() {
	case reflect.String:
		setTyped(d, path, v, "a string", into.SetString)
	case reflect.Bool:
		setTyped(d, path, v, "true or false", into.SetBool)
	case reflect.Float64:
		setTyped(d, path, v, "a number with a decimal point", into.SetFloat)
	case reflect.Int, reflect.Int64:
		setTyped(d, path, v, "a whole number", func(n int64) { d.decodeInteger(path, n, into) })
	case reflect.Slice:
		setTyped(d, path, v, "an array", func(list []any) { d.decodeArray(path, list, into) })
	case reflect.Struct:
		setTyped(d, path, v, "a table", func(tree map[string]any) { d.decodeTable(path, tree, into) })
	default:
		panic(fmt.Sprintf("settings field at %s has unsupported type %s", path, into.Type()))
	}
}

// setTyped calls set with the value if it has the type of the field. Otherwise it adds a
// finding.
func setTyped[T any](d *decoder, path string, v any, wanted string, set func(T)) {
	typed, ok := v.(T)
	if !ok {
		d.addFinding(path, "is %s, want %s", describeValue(v), wanted)
		return
	}
	set(typed)
}

// describeValue describes a TOML value for a finding.
func describeValue(v any) string {
	switch v := v.(type) {
	case string:
		return "the string " + strconv.Quote(v)
	case bool, int64, float64:
		return fmt.Sprint(v)
	case []any:
		return "an array"
	case map[string]any:
		return "a table"
	}
	return "a date or time"
}

// decodeInteger sets a field to a whole number. Negative numbers are refused, since no
// setting allows them.
func (d *decoder) decodeInteger(path string, n int64, into reflect.Value) {
	if n < 0 {
		d.addFinding(path, "is %d, want 0 or more", n)
		return
	}
	if n > math.MaxInt32 && into.Kind() == reflect.Int {
		d.addFinding(path, "is %d, want at most %d", n, math.MaxInt32)
		return
	}
	into.SetInt(n)
}

// decodeDuration sets a field to a duration, which must be a string with a unit.
func (d *decoder) decodeDuration(path string, v any, into reflect.Value) {
	text, ok := v.(string)
	if !ok {
		d.addFinding(path, "is %s, want a duration with a unit, such as \"2s\"", describeValue(v))
		return
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		d.addFinding(path, "duration %q needs a number and a unit, such as \"2s\"", text)
		return
	}
	if duration < 0 {
		d.addFinding(path, "duration %q is negative", text)
		return
	}
	into.SetInt(int64(duration))
}

// decodeArray copies an array into a slice.
func (d *decoder) decodeArray(path string, list []any, into reflect.Value) {
	slice := reflect.MakeSlice(into.Type(), len(list), len(list))
	for i, v := range list {
		d.decodeValue(join(path, strconv.Itoa(i)), v, slice.Index(i))
	}
	into.Set(slice)
}
