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

// Decode reads a TOML document into the struct that into points to, and
// returns every finding. Keys are the names of the struct's fields, exactly, or
// their toml tags. A time.Duration is a string with a unit, such as "2s".
// The name is the file that findings give.
func Decode(name string, data []byte, into any) (Positions, Findings) {
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		return nil, Findings{syntaxFinding(name, err)}
	}
	d := decoder{file: name, places: placesOf(data)}
	d.table("", tree, reflect.ValueOf(into).Elem())
	return d.places, d.findings.sorted()
}

// syntaxFinding turns an error of the TOML library into a finding.
func syntaxFinding(file string, err error) Finding {
	f := Finding{File: file, Line: 1, Column: 1, Message: strings.TrimPrefix(err.Error(), "toml: ")}
	var at *toml.DecodeError
	if errors.As(err, &at) {
		f.Line, f.Column = at.Position()
		f.Key = strings.Join(at.Key(), ".")
	}
	return f
}

// decoder copies a tree of TOML values into structs.
type decoder struct {
	file     string
	places   Positions
	findings Findings
}

// find adds a finding about the key at the path.
func (d *decoder) find(path, format string, args ...any) {
	d.findings = append(d.findings, d.places.Finding(d.file, path, fmt.Sprintf(format, args...)))
}

// table copies the table at the path into a struct.
func (d *decoder) table(path string, tree map[string]any, into reflect.Value) {
	fields := make(map[string]reflect.Value)
	for i := range into.NumField() {
		field := into.Type().Field(i)
		fields[cmp.Or(field.Tag.Get("toml"), field.Name)] = into.Field(i)
	}
	for _, key := range slices.Sorted(maps.Keys(tree)) {
		at := join(path, key)
		field, ok := fields[key]
		if !ok {
			d.find(at, "unknown key%s", suggestion(key, fields))
			continue
		}
		d.value(at, tree[key], field)
	}
}

// suggestion names the known key that differs in case only.
func suggestion(key string, fields map[string]reflect.Value) string {
	for known := range fields {
		if strings.EqualFold(known, key) {
			return fmt.Sprintf(", did you mean %q", known)
		}
	}
	return ""
}

// value copies the value at the path into a field.
func (d *decoder) value(path string, v any, into reflect.Value) {
	if into.Type() == reflect.TypeFor[time.Duration]() {
		d.duration(path, v, into)
		return
	}
	switch into.Kind() {
	case reflect.String:
		scalar(d, path, v, "a string", into.SetString)
	case reflect.Bool:
		scalar(d, path, v, "true or false", into.SetBool)
	case reflect.Float64:
		scalar(d, path, v, "a number with a decimal point", into.SetFloat)
	case reflect.Int, reflect.Int64:
		scalar(d, path, v, "a whole number", func(n int64) { d.integer(path, n, into) })
	case reflect.Slice:
		scalar(d, path, v, "an array", func(list []any) { d.array(path, list, into) })
	case reflect.Struct:
		scalar(d, path, v, "a table", func(tree map[string]any) { d.table(path, tree, into) })
	default:
		panic(fmt.Sprintf("settings field at %s has unsupported type %s", path, into.Type()))
	}
}

// scalar passes the value to set when it has the type that the field wants.
func scalar[T any](d *decoder, path string, v any, wanted string, set func(T)) {
	typed, ok := v.(T)
	if !ok {
		d.find(path, "is %s, want %s", describe(v), wanted)
		return
	}
	set(typed)
}

// describe names the TOML type of a value.
func describe(v any) string {
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

// integer sets a whole number. No number of the settings may be negative.
func (d *decoder) integer(path string, n int64, into reflect.Value) {
	if n < 0 {
		d.find(path, "is %d, want 0 or more", n)
		return
	}
	if n > math.MaxInt32 && into.Kind() == reflect.Int {
		d.find(path, "is %d, want at most %d", n, math.MaxInt32)
		return
	}
	into.SetInt(n)
}

// duration sets a duration, which has to be a string with a unit.
func (d *decoder) duration(path string, v any, into reflect.Value) {
	text, ok := v.(string)
	if !ok {
		d.find(path, "is %s, want a duration with a unit, such as \"2s\"", describe(v))
		return
	}
	span, err := time.ParseDuration(text)
	if err != nil {
		d.find(path, "duration %q needs a number and a unit, such as \"2s\"", text)
		return
	}
	if span < 0 {
		d.find(path, "duration %q is negative", text)
		return
	}
	into.SetInt(int64(span))
}

// array copies an array into a slice.
func (d *decoder) array(path string, list []any, into reflect.Value) {
	slice := reflect.MakeSlice(into.Type(), len(list), len(list))
	for i, v := range list {
		d.value(join(path, strconv.Itoa(i)), v, slice.Index(i))
	}
	into.Set(slice)
}
