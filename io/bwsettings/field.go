package bwsettings

import (
	"net/netip"
	"reflect"
	"strings"
	"time"

	"bilberrywick/io/bwwire"
)

// Field describes one field of a document for its documentation.
type Field struct {
	// Path contains "[]" for each array that encloses the field.
	Path string
	// Type is the format of the value, such as "duration".
	Type     string
	Required bool
	// Default is the value of an absent field; empty when there is none.
	Default string
	// Accepted lists the accepted values or limits; empty means any value of the type.
	Accepted string
}

// Fields returns the fields of the document that Decode reads into a T, in
// order of declaration.
func Fields[T any]() []Field { return appendFields(nil, reflect.TypeFor[T](), "") }

var typeNames = map[reflect.Type]string{
	reflect.TypeFor[netip.AddrPort]():      "address and port",
	reflect.TypeFor[netip.Addr]():          "address",
	reflect.TypeFor[time.Time]():           "time",
	reflect.TypeFor[time.Duration]():       "duration",
	reflect.TypeFor[bwwire.DurationText](): "duration",
}

func appendFields(list []Field, typ reflect.Type, path string) []Field {
	for _, sf := range reflect.VisibleFields(typ) {
		if !sf.IsExported() {
			continue
		}
		sub, elem := joinPath(path, fieldName(sf)), sf.Type
		for elem.Kind() == reflect.Pointer || elem.Kind() == reflect.Slice {
			if elem.Kind() == reflect.Slice {
				sub += "[]"
			}
			elem = elem.Elem()
		}
		if !isScalar(elem) {
			list = appendFields(list, elem, sub)
			continue
		}
		list = append(list, Field{
			Path:     sub,
			Type:     typeName(elem),
			Required: sf.Tag.Get("required") == "true",
			Default:  sf.Tag.Get("default"),
			Accepted: describeAccepted(sf.Tag),
		})
	}
	return list
}

func typeName(typ reflect.Type) string {
	if name, ok := typeNames[typ]; ok {
		return name
	}
	switch typ.Kind() {
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	}
	return "number"
}

func describeAccepted(tag reflect.StructTag) string {
	var parts []string
	if list := acceptedValues(tag); list != nil {
		parts = append(parts, strings.Join(list, ", "))
	}
	if txt, ok := tag.Lookup("min"); ok {
		parts = append(parts, "at least "+txt)
	}
	if txt, ok := tag.Lookup("max"); ok {
		parts = append(parts, "at most "+txt)
	}
	return strings.Join(parts, ", ")
}

// MarkdownRow returns the start of the field's row in docs/settings.md, up to
// the column with the field's meaning.
func (fld Field) MarkdownRow() string {
	def := "–"
	if fld.Default != "" {
		def = "`" + fld.Default + "`"
	}
	if fld.Required {
		def = "required"
	}
	accepted := "any"
	if fld.Accepted != "" {
		accepted = fld.Accepted
	}
	return "| `" + fld.Path + "` | " + fld.Type + " | " + def + " | " + accepted + " | "
}
