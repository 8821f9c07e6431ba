// Package strictjson decodes JSON documents that operators write. It reports all
// faults of a document, each with its path and line.
package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"sort"
	"strconv"
	"strings"
)

// maxFaults limits the number of faults that are reported for one document.
const maxFaults = 100

// Fault is one error in a document.
type Fault struct {
	// Path is the path of the value, such as workspaces[3].plan. It is empty for
	// the document itself.
	Path string `json:"path"`
	// Line is the line number, starting at 1.
	Line    int    `json:"line"`
	Message string `json:"message"`
}

// String returns the fault in the form "workspaces[3].plan (line 3): message".
func (f Fault) String() string {
	path := f.Path
	if path == "" {
		path = "document"
	}
	return fmt.Sprintf("%s (line %d): %s", path, f.Line, f.Message)
}

// Lines maps the path of each value in a document to its line number.
type Lines map[string]int

// Line returns the line of the value at path. If the document has no such value, it
// returns the line of the nearest enclosing one.
func (l Lines) Line(path string) int {
	for {
		if line, ok := l[path]; ok {
			return line
		}
		if path == "" {
			return 1
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

// Decode decodes data into the struct that into points to. Unknown and repeated
// fields, values of a wrong type and null are faults. If there are faults, the struct
// is unchanged.
func Decode(data []byte, into any) (Lines, []Fault) {
	w := newWalker(data)
	w.document(reflect.TypeOf(into).Elem())
	if len(w.faults) > 0 {
		return w.lines, w.faults
	}
	if err := json.Unmarshal(data, into); err != nil {
		w.addFault("", "%v", err)
	}
	return w.lines, w.faults
}

// walker walks through the tokens of a document and compares them with a type.
type walker struct {
	decoder  *json.Decoder
	newlines []int // offsets of the newlines
	lines    Lines
	faults   []Fault
	broken   bool // the document is not valid JSON and cannot be read further
}

func newWalker(data []byte) *walker {
	w := &walker{decoder: json.NewDecoder(bytes.NewReader(data)), lines: Lines{}}
	w.decoder.UseNumber()
	for i, b := range data {
		if b == '\n' {
			w.newlines = append(w.newlines, i)
		}
	}
	return w
}

func (w *walker) document(t reflect.Type) {
	w.value("", t)
	if w.broken {
		return
	}
	if _, err := w.decoder.Token(); err != io.EOF {
		w.addFault("", "there is more after the end of the document")
	}
}

// line returns the line on which the latest token ends. No token spans lines.
func (w *walker) line() int {
	end := int(w.decoder.InputOffset()) - 1
	return 1 + sort.SearchInts(w.newlines, end)
}

func (w *walker) addFault(path, format string, args ...any) {
	if len(w.faults) < maxFaults {
		w.faults = append(w.faults, Fault{path, w.line(), fmt.Sprintf(format, args...)})
	}
}

// token reads the next token. It reports false if the document is not valid JSON.
func (w *walker) token(path string) (json.Token, bool) {
	if w.broken {
		return nil, false
	}
	token, err := w.decoder.Token()
	if err == nil {
		return token, true
	}
	w.broken = true
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		w.addFault(path, "the document ends too early")
	} else {
		w.addFault(path, "not valid JSON: %v", err)
	}
	return nil, false
}

// value checks that the next value of the document can be decoded as type t.
func (w *walker) value(path string, t reflect.Type) {
	if reflect.PointerTo(t).Implements(unmarshalerType) {
		w.unmarshaler(path, t)
		return
	}
	token, ok := w.token(path)
	if !ok {
		return
	}
	w.lines[path] = w.line()
	switch {
	case t.Kind() == reflect.Struct && token == json.Delim('{'):
		w.object(path, t)
	case t.Kind() == reflect.Map && token == json.Delim('{'):
		w.mapping(path, t)
	case t.Kind() == reflect.Slice && token == json.Delim('['):
		w.array(path, t.Elem())
	default:
		w.scalar(path, t, token)
	}
}

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// unmarshaler checks a value whose type implements json.Unmarshaler, such as time.Time.
func (w *walker) unmarshaler(path string, t reflect.Type) {
	var raw json.RawMessage
	if err := w.decoder.Decode(&raw); err != nil {
		w.broken = true
		w.addFault(path, "not valid JSON: %v", err)
		return
	}
	w.lines[path] = w.line()
	if err := json.Unmarshal(raw, reflect.New(t).Interface()); err != nil {
		w.addFault(path, "%v", err)
	}
}

func (w *walker) object(path string, t reflect.Type) {
	fields := fieldsOf(t)
	w.members(path, func(key, memberPath string) {
		field, known := fields[key]
		if !known {
			w.addFault(memberPath, "unknown field")
			w.skip(memberPath)
			return
		}
		w.value(memberPath, field)
	})
}

func (w *walker) mapping(path string, t reflect.Type) {
	w.members(path, func(_, memberPath string) { w.value(memberPath, t.Elem()) })
}

// members calls visit for each member of an object, with its key and its path, and
// reads the closing brace.
func (w *walker) members(path string, visit func(key, memberPath string)) {
	seen := map[string]bool{}
	for w.decoder.More() {
		token, ok := w.token(path)
		if !ok {
			return
		}
		key := token.(string)
		memberPath := join(path, key)
		if seen[key] {
			w.addFault(memberPath, "field is given twice")
		}
		seen[key] = true
		visit(key, memberPath)
		if w.broken {
			return
		}
	}
	w.token(path)
}

func (w *walker) array(path string, element reflect.Type) {
	for i := 0; w.decoder.More() && !w.broken; i++ {
		w.value(path+"["+strconv.Itoa(i)+"]", element)
	}
	w.token(path)
}

func (w *walker) scalar(path string, t reflect.Type, token json.Token) {
	if message := mismatch(t, token); message != "" {
		w.addFault(path, "%s", message)
	}
	if delim, ok := token.(json.Delim); ok {
		w.skipNested(path, delim)
	}
}

// skip skips one value.
func (w *walker) skip(path string) {
	token, ok := w.token(path)
	if !ok {
		return
	}
	if delim, nested := token.(json.Delim); nested {
		w.skipNested(path, delim)
	}
}

// skipNested skips the rest of an object or array whose opening delimiter was read.
func (w *walker) skipNested(path string, opened json.Delim) {
	if opened != '{' && opened != '[' {
		return
	}
	for depth := 1; depth > 0; {
		token, ok := w.token(path)
		if !ok {
			return
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// mismatch returns the reason why token is not a value of type t, or "" if it is one.
func mismatch(t reflect.Type, token json.Token) string {
	number, isNumber := token.(json.Number)
	var err error
	switch t.Kind() {
	case reflect.String:
		if _, ok := token.(string); ok {
			return ""
		}
	case reflect.Bool:
		if _, ok := token.(bool); ok {
			return ""
		}
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		_, err = strconv.ParseInt(number.String(), 10, t.Bits())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		_, err = strconv.ParseUint(number.String(), 10, t.Bits())
	case reflect.Float32, reflect.Float64:
		_, err = strconv.ParseFloat(number.String(), t.Bits())
	default:
		isNumber = false
	}
	if isNumber && isNumeric(t) {
		if err != nil {
			return fmt.Sprintf("%s is not %s in range", number, describe(t))
		}
		return ""
	}
	return "must be " + describe(t)
}

func isNumeric(t reflect.Type) bool {
	return t.Kind() >= reflect.Int && t.Kind() <= reflect.Float64
}

// describe returns the JSON type of t in words.
func describe(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list"
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

// fieldsOf returns the types of the fields of t by their JSON names.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for field := range fieldSeq(t) {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name == "-" || !field.IsExported() {
			continue
		}
		if name == "" {
			name = field.Name
		}
		fields[name] = field.Type
	}
	return fields
}

// fieldSeq iterates over the fields of the struct type t.
func fieldSeq(t reflect.Type) func(func(reflect.StructField) bool) {
	return func(yield func(reflect.StructField) bool) {
		for i := range t.NumField() {
			if !yield(t.Field(i)) {
				return
			}
		}
	}
}
