package bwsettings

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// Decode strictly decodes a JSON document into a new T and fills in defaults, or
// returns an *Error with every fault.
func Decode[T any](data []byte) (*T, error) {
	val, faults, _ := decodeAll[T](data)
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return val, nil
}

// decodeAll returns the values that could be decoded together with the faults,
// so that checks across fields can add theirs, and whether the document is
// valid JSON.
func decodeAll[T any](data []byte) (*T, *FaultList, bool) {
	val := new(T)
	dec := &decoder{}
	nd, err := parse(data)
	if err != nil {
		dec.faults.Add("", err.Error())
		return val, &dec.faults, false
	}
	dec.decode(nd, reflect.ValueOf(val).Elem(), "", "")
	return val, &dec.faults, true
}

// decoder stores nodes in values and collects faults.
type decoder struct{ faults FaultList }

var (
	durationType = reflect.TypeFor[time.Duration]()
	textType     = reflect.TypeFor[encoding.TextUnmarshaler]()
)

func (dec *decoder) decode(nd node, val reflect.Value, path string, tag reflect.StructTag) {
	if val.Kind() == reflect.Pointer {
		ptr := reflect.New(val.Type().Elem())
		dec.decode(nd, ptr.Elem(), path, tag)
		val.Set(ptr)
		return
	}
	if isScalar(val.Type()) {
		dec.decodeScalar(nd, val, path, tag)
		return
	}
	switch val.Kind() {
	case reflect.Struct:
		dec.decodeStruct(nd, val, path)
	case reflect.Slice:
		dec.decodeSlice(nd, val, path, tag)
	default:
		panic(fmt.Sprintf("bwsettings: type %v of %s can't be decoded", val.Type(), path))
	}
}

func isScalar(typ reflect.Type) bool {
	if reflect.PointerTo(typ).Implements(textType) {
		return true
	}
	switch typ.Kind() {
	case reflect.Struct, reflect.Slice, reflect.Pointer:
		return false
	}
	return true
}

func (dec *decoder) decodeStruct(nd node, val reflect.Value, path string) {
	if nd.kind != objectNode {
		dec.faults.addAt(path, nd.line, "is "+nd.kind.String()+", want an object", fieldNames(val.Type())...)
		return
	}
	seen := make(map[string]bool, len(nd.fields))
	for _, fld := range nd.fields {
		sub := joinPath(path, fld.name)
		sf, ok := findField(val.Type(), fld.name)
		if !ok {
			dec.faults.addAt(sub, fld.line, "unknown field", fieldNames(val.Type())...)
			continue
		}
		if seen[fld.name] {
			dec.faults.addAt(sub, fld.line, "occurs twice")
			continue
		}
		seen[fld.name] = true
		dec.decode(fld.value, val.FieldByIndex(sf.Index), sub, sf.Tag)
	}
	dec.fillMissing(val, path, seen)
}

// fillMissing sets the defaults of absent fields, also within absent structs,
// and records a fault for each absent required field.
func (dec *decoder) fillMissing(val reflect.Value, path string, seen map[string]bool) {
	for _, sf := range reflect.VisibleFields(val.Type()) {
		if !sf.IsExported() || seen[fieldName(sf)] {
			continue
		}
		sub := joinPath(path, fieldName(sf))
		fld := val.FieldByIndex(sf.Index)
		if txt, ok := sf.Tag.Lookup("default"); ok {
			if msg := setScalar(fld, scalarNode(fld, txt)); msg != "" {
				panic("bwsettings: default of " + sub + " " + msg)
			}
			continue
		}
		if sf.Tag.Get("required") == "true" {
			dec.faults.Add(sub, "is required", acceptedValues(sf.Tag)...)
			continue
		}
		if fld.Kind() == reflect.Struct && !isScalar(fld.Type()) {
			dec.fillMissing(fld, sub, nil)
		}
	}
}

func (dec *decoder) decodeSlice(nd node, val reflect.Value, path string, tag reflect.StructTag) {
	if nd.kind != arrayNode {
		dec.faults.addAt(path, nd.line, "is "+nd.kind.String()+", want an array")
		return
	}
	if len(nd.items) == 0 && tag.Get("required") == "true" {
		dec.faults.addAt(path, nd.line, "must not be empty")
	}
	list := reflect.MakeSlice(val.Type(), len(nd.items), len(nd.items))
	for ix, item := range nd.items {
		dec.decode(item, list.Index(ix), path+"["+strconv.Itoa(ix)+"]", "")
	}
	val.Set(list)
}

func (dec *decoder) decodeScalar(nd node, val reflect.Value, path string, tag reflect.StructTag) {
	if msg := setScalar(val, nd); msg != "" {
		dec.faults.addAt(path, nd.line, msg, acceptedValues(tag)...)
		return
	}
	if msg := checkScalar(val, tag); msg != "" {
		dec.faults.addAt(path, nd.line, msg, acceptedValues(tag)...)
	}
}

func fieldName(sf reflect.StructField) string {
	if name, _, _ := strings.Cut(sf.Tag.Get("json"), ","); name != "" {
		return name
	}
	return sf.Name
}

func findField(typ reflect.Type, name string) (reflect.StructField, bool) {
	for _, sf := range reflect.VisibleFields(typ) {
		if sf.IsExported() && fieldName(sf) == name {
			return sf, true
		}
	}
	return reflect.StructField{}, false
}

func fieldNames(typ reflect.Type) []string {
	var names []string
	for _, sf := range reflect.VisibleFields(typ) {
		if sf.IsExported() {
			names = append(names, fieldName(sf))
		}
	}
	return names
}

func acceptedValues(tag reflect.StructTag) []string {
	if txt := tag.Get("oneof"); txt != "" {
		return strings.Split(txt, ",")
	}
	return nil
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
