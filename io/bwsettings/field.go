package bwsettings

import (
	"net/netip"
	"reflect"
	"strings"
	"time"

	"bilberrywick/io/bwwire"
)

// Field describes one field of a document to its writer.
type Field struct {
	// Path has "[]" where the document has an array.
	Path string
	// Type is the form of the value, such as "duration".
	Type     string
	Required bool
	// Default is the value of an absent field; empty when there is none.
	Default string
	// Accepted lists the values or the bounds, and is empty for any value of the type.
	Accepted string
}

// Fields returns the fields of the document that Decode reads into a T, in order.
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
		sub, elem := join(path, fieldName(sf)), sf.Type
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
			Accepted: acceptedText(sf.Tag),
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

func acceptedText(tag reflect.StructTag) string {
	var parts []string
	if list := oneOf(tag); list != nil {
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

// MarkdownRow returns the field as the start of a row in docs/settings.md, which the
// meaning follows.
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
