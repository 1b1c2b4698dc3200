package conf

import (
	"bytes"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// enumNames lists the accepted names of each enum type, in the order of its values.
var enumNames = map[reflect.Type][]string{
	reflect.TypeFor[CentreState](): {CentreIn.String(), CentreOut.String()},
	reflect.TypeFor[ServerState](): {ServerServing.String(), ServerLeaving.String()},
	reflect.TypeFor[Protocol]():    {Tcp.String(), Udp.String()},
	reflect.TypeFor[TrafficKind](): {CarryStreams.String(), CarryRequests.String()},
}

// entry is one named object as declared in one file, with the positions of the
// fields that the file sets.
type entry[T any] struct {
	value     T
	fields    []fieldPosition
	offset    int32 // byte offset of the object
	listIndex int32 // index in the file's list
}

// fieldPosition records which struct field a file sets and where.
type fieldPosition struct {
	fieldIndex int32 // as in reflect.Type.Field
	offset     int32 // byte offset of the value
}

// document is one parsed configuration file.
type document struct {
	name            string
	text            []byte
	owner           string
	hash            fileHash
	centreEntries   []entry[DataCentre]
	serviceEntries  []entry[Service]
	serverEntries   []entry[BackendServer]
	balancerEntries []entry[Balancer]
	findings        Findings
}

// decoder decodes one file into structs and collects the findings.
type decoder struct {
	doc          *document
	fieldOffsets map[string]int // byte offsets of values by field path; nil if not needed
}

// addError adds an error at a byte offset of the file.
func (d *decoder) addError(offset int, path, format string, args ...any) {
	d.doc.findings = append(d.doc.findings, d.doc.newFinding(Error, offset, path, fmt.Sprintf(format, args...)))
}

// newFinding returns a finding with the line and column of a byte offset.
func (doc *document) newFinding(severity Severity, offset int, path, message string) Finding {
	before := doc.text[:min(offset, len(doc.text))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - (bytes.LastIndexByte(before, '\n') + 1) + 1
	return Finding{severity, doc.name, line, column, path, message}
}

// parseDocument parses one file. Errors are collected in the document's findings.
func parseDocument(file File) *document {
	doc := &document{name: file.Name, text: file.Content, hash: hashFile(file)}
	d := &decoder{doc: doc}
	if len(file.Content) > MaxFileBytes {
		d.addError(0, "", "the file has %d bytes; at most %d are allowed", len(file.Content), MaxFileBytes)
		return doc
	}
	if len(bytes.TrimSpace(file.Content)) == 0 {
		d.addError(0, "", "the file is empty")
		return doc
	}
	root, err := parseJSON(file.Content)
	if err != nil {
		d.addSyntaxError(err)
		return doc
	}
	d.decodeDocument(&root)
	return doc
}

// Decoded is a file that was read by Decode. AddError adds findings of the
// caller's own checks at the positions of the fields concerned.
type Decoded struct {
	Findings Findings

	decoder *decoder
}

// Decode decodes one JSON file into the struct that into points to, by the rules
// of the configuration folder: a key is the name of a Go field, and unknown or
// duplicate keys are errors.
func Decode(file File, into any) *Decoded {
	doc := &document{name: file.Name, text: file.Content}
	d := &decoder{doc: doc, fieldOffsets: make(map[string]int)}
	root, err := parseJSON(file.Content)
	if err != nil {
		d.addSyntaxError(err)
	} else {
		d.decodeStruct(&root, reflect.ValueOf(into).Elem(), "")
	}
	return &Decoded{doc.findings.sorted(), d}
}

// AddError adds an error for a field, for example "Process.Host". If the file
// does not set the field, the position is that of the closest enclosing object.
func (d *Decoded) AddError(path, message string) {
	offset := 0
	for prefix := path; ; prefix = prefix[:strings.LastIndexByte(prefix, '.')] {
		if at, ok := d.decoder.fieldOffsets[prefix]; ok {
			offset = at
			break
		}
		if !strings.Contains(prefix, ".") {
			break
		}
	}
	d.Findings = append(d.Findings, d.decoder.doc.newFinding(Error, offset, path, message))
}

// addSyntaxError adds a parse error at its offset.
func (d *decoder) addSyntaxError(err error) {
	errorOffset := 0
	if syntaxErr, ok := err.(*syntaxError); ok {
		errorOffset = syntaxErr.offset
	}
	d.addError(errorOffset, "", "%v", err)
}

// decodeDocument decodes the root object of a configuration file.
func (d *decoder) decodeDocument(root *jsonValue) {
	if root.kind != '{' {
		d.addError(root.offset, "", "a configuration file must be a JSON object")
		return
	}
	for _, f := range d.uniqueFields(root, "") {
		switch f.key {
		case "Owner":
			d.decodeValue(&f.value, reflect.ValueOf(&d.doc.owner).Elem(), "Owner")
		case keyCentres:
			d.doc.centreEntries = decodeEntries[DataCentre](d, &f.value, f.key)
		case keyServices:
			d.doc.serviceEntries = decodeEntries[Service](d, &f.value, f.key)
		case keyServers:
			d.doc.serverEntries = decodeEntries[BackendServer](d, &f.value, f.key)
		case keyBalancers:
			d.doc.balancerEntries = decodeEntries[Balancer](d, &f.value, f.key)
		default:
			d.addError(f.offset, f.key, "unknown field %q", f.key)
		}
	}
	if d.doc.owner == "" {
		d.addError(root.offset, "Owner", "every file must name its owner")
	}
}

// uniqueFields returns the fields of an object without duplicate keys, which it
// reports as errors.
func (d *decoder) uniqueFields(object *jsonValue, path string) []field {
	unique := object.fields[:0]
	for _, f := range object.fields {
		if hasKey(unique, f.key) {
			d.addError(f.offset, joinPath(path, f.key), "duplicate key %q", f.key)
			continue
		}
		unique = append(unique, f)
	}
	return unique
}

func hasKey(fields []field, key string) bool {
	for i := range fields {
		if fields[i].key == key {
			return true
		}
	}
	return false
}

// decodeEntries decodes a list of named objects. It reports objects without a name
// and duplicate names as errors and skips them.
func decodeEntries[T namedObject](d *decoder, list *jsonValue, path string) []entry[T] {
	if list.kind != '[' {
		d.addError(list.offset, path, "must be a list")
		return nil
	}
	out := make([]entry[T], 0, len(list.elements))
	seen := make(map[string]bool, len(list.elements))
	for i := range list.elements {
		item := &list.elements[i]
		e := entry[T]{offset: int32(item.offset), listIndex: int32(i)}
		e.fields = d.decodeStruct(item, reflect.ValueOf(&e.value).Elem(), entryPath(path, i))
		name := e.value.objectName()
		switch {
		case name == "":
			d.addError(item.offset, entryPath(path, i), "must have a Name")
			continue
		case seen[name]:
			d.addError(item.offset, entryPath(path, i), "%q is declared twice in this file", name)
			continue
		}
		seen[name] = true
		out = append(out, e)
	}
	return out
}

func entryPath(path string, index int) string {
	return path + "[" + strconv.Itoa(index) + "]"
}

// decodeStruct decodes an object into a struct and returns the fields it sets.
func (d *decoder) decodeStruct(object *jsonValue, target reflect.Value, path string) []fieldPosition {
	if object.kind != '{' {
		d.addError(object.offset, path, "must be an object")
		return nil
	}
	set := make([]fieldPosition, 0, len(object.fields))
	for _, f := range d.uniqueFields(object, path) {
		structField, found := target.Type().FieldByName(f.key)
		if !found {
			d.addError(f.offset, joinPath(path, f.key), "unknown field %q", f.key)
			continue
		}
		if d.fieldOffsets != nil {
			d.fieldOffsets[joinPath(path, f.key)] = f.value.offset
		}
		index := structField.Index[0]
		d.decodeValue(&f.value, target.Field(index), joinPath(path, f.key))
		set = append(set, fieldPosition{int32(index), int32(f.value.offset)})
	}
	return set
}

// decodeValue decodes one JSON value into target, according to the target's type.
func (d *decoder) decodeValue(value *jsonValue, target reflect.Value, path string) {
	if names, isEnum := enumNames[target.Type()]; isEnum {
		d.decodeEnum(value, target, names, path)
		return
	}
	switch target.Kind() {
	case reflect.String:
		if value.kind == '"' {
			target.SetString(value.text)
			return
		}
	case reflect.Bool:
		if value.kind == 't' || value.kind == 'f' {
			target.SetBool(value.kind == 't')
			return
		}
	case reflect.Int:
		if n, err := strconv.ParseInt(value.text, 10, 64); value.kind == '0' && err == nil {
			target.SetInt(n)
			return
		}
	case reflect.Float64:
		if x, err := strconv.ParseFloat(value.text, 64); value.kind == '0' && err == nil {
			target.SetFloat(x)
			return
		}
	case reflect.Slice:
		d.decodeList(value, target, path)
		return
	case reflect.Struct:
		d.decodeStruct(value, target, path)
		return
	}
	d.addError(value.offset, path, "must be %s", jsonTypeNames[target.Kind()])
}

// jsonTypeNames describes the expected JSON value of a Go kind in error messages.
var jsonTypeNames = map[reflect.Kind]string{
	reflect.String:  "a string",
	reflect.Bool:    "true or false",
	reflect.Int:     "an integer without a unit",
	reflect.Float64: "a number without a unit",
}

func (d *decoder) decodeEnum(value *jsonValue, target reflect.Value, names []string, path string) {
	for i, name := range names {
		if value.kind == '"' && name == value.text {
			target.SetInt(int64(i))
			return
		}
	}
	d.addError(value.offset, path, "must be one of %q", names)
}

func (d *decoder) decodeList(value *jsonValue, target reflect.Value, path string) {
	if value.kind != '[' {
		d.addError(value.offset, path, "must be a list")
		return
	}
	list := reflect.MakeSlice(target.Type(), len(value.elements), len(value.elements))
	for i := range value.elements {
		d.decodeValue(&value.elements[i], list.Index(i), entryPath(path, i))
	}
	target.Set(list)
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
