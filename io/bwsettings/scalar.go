package bwsettings

import (
	"encoding"
	"math"
	"net/netip"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"time"

	"bilberrywick/io/bwwire"
)

// formatDescriptions describes the text format of a type for error messages.
var formatDescriptions = map[reflect.Type]string{
	reflect.TypeFor[netip.AddrPort]():      `an address and port such as "192.0.2.1:7000"`,
	reflect.TypeFor[netip.Addr]():          `an address such as "192.0.2.1"`,
	reflect.TypeFor[time.Time]():           `a time such as "2026-12-31T23:59:59Z"`,
	reflect.TypeFor[time.Duration]():       `a duration such as "300ms" or "1m30s"`,
	reflect.TypeFor[bwwire.DurationText](): `a duration such as "300ms" or "1m30s"`,
}

// setScalar stores a node in a value; it returns a fault message, or "" on success.
func setScalar(val reflect.Value, nd node) string {
	if reflect.PointerTo(val.Type()).Implements(textType) || val.Type() == durationType {
		return setText(val, nd)
	}
	switch val.Kind() {
	case reflect.String:
		if nd.kind != stringNode {
			return kindMismatch(nd, stringNode.String())
		}
		val.SetString(nd.text)
	case reflect.Bool:
		if nd.kind != boolNode {
			return kindMismatch(nd, boolNode.String())
		}
		val.SetBool(nd.text == "true")
	default:
		if nd.kind != numberNode {
			return kindMismatch(nd, numberNode.String())
		}
		return setNumber(val, nd.text)
	}
	return ""
}

func setText(val reflect.Value, nd node) string {
	format, ok := formatDescriptions[val.Type()]
	if !ok {
		format = "text of type " + val.Type().Name()
	}
	if nd.kind != stringNode {
		return kindMismatch(nd, format)
	}
	if val.Type() == durationType {
		dur, err := parseDuration(nd.text)
		if err != nil {
			return strconv.Quote(nd.text) + " is not " + format
		}
		val.SetInt(int64(dur))
		return ""
	}
	if nd.text == "" {
		// The netip types decode an empty text as the zero value, which is invalid
		// in every field.
		return "is empty, want " + format
	}
	dst := val.Addr().Interface().(encoding.TextUnmarshaler)
	if err := dst.UnmarshalText([]byte(nd.text)); err != nil {
		return strconv.Quote(nd.text) + " is not " + format
	}
	return ""
}

// exponentDuration is a duration whose only number has an exponent.
var exponentDuration = regexp.MustCompile(`^([0-9.]+[eE][+-]?[0-9]+)([a-zµμ]+)$`)

// parseDuration parses a duration, whose number may have an exponent: templates
// that the platform fills in write numbers in any form.
func parseDuration(txt string) (time.Duration, error) {
	parts := exponentDuration.FindStringSubmatch(txt)
	if parts == nil {
		return time.ParseDuration(txt)
	}
	num, err := strconv.ParseFloat(parts[1], 64)
	if err != nil {
		return 0, err
	}
	return time.ParseDuration(strconv.FormatFloat(num, 'f', -1, 64) + parts[2])
}

// wholeNumber returns a whole number that is written with a fraction of zeros or
// with an exponent in the usual form, and any other text as it is.
func wholeNumber(txt string) string {
	num, err := strconv.ParseFloat(txt, 64)
	if err != nil || num != math.Trunc(num) || math.Abs(num) > maxExactWhole {
		return txt
	}
	return strconv.FormatFloat(num, 'f', 0, 64)
}

// maxExactWhole is the largest number below which a float64 has each whole number.
const maxExactWhole = 1 << 53

func setNumber(val reflect.Value, txt string) string {
	switch {
	case val.CanInt():
		num, err := strconv.ParseInt(wholeNumber(txt), 10, val.Type().Bits())
		if err != nil {
			return txt + " is not a whole number in range"
		}
		val.SetInt(num)
	case val.CanUint():
		num, err := strconv.ParseUint(wholeNumber(txt), 10, val.Type().Bits())
		if err != nil {
			return txt + " is not a whole number of at least 0 in range"
		}
		val.SetUint(num)
	case val.CanFloat():
		num, err := strconv.ParseFloat(txt, val.Type().Bits())
		if err != nil {
			return txt + " is not a number in range"
		}
		val.SetFloat(num)
	}
	return ""
}

func kindMismatch(nd node, want string) string { return "is " + nd.kind.String() + ", want " + want }

// scalarNode returns the node that a default's or limit's text would have in a document.
func scalarNode(val reflect.Value, txt string) node {
	nd := node{kind: numberNode, text: txt}
	switch {
	case reflect.PointerTo(val.Type()).Implements(textType), val.Type() == durationType, val.Kind() == reflect.String:
		nd.kind = stringNode
	case val.Kind() == reflect.Bool:
		nd.kind = boolNode
	}
	return nd
}

// checkScalar validates a value against its tags; it returns a fault message, or
// "" for a valid value.
func checkScalar(val reflect.Value, tag reflect.StructTag) string {
	if tag.Get("required") == "true" && val.IsZero() {
		return "must not be empty"
	}
	if accepted := acceptedValues(tag); accepted != nil && !slices.Contains(accepted, val.String()) {
		return strconv.Quote(val.String()) + " is not accepted"
	}
	if txt, ok := tag.Lookup("min"); ok && asFloat(val) < asFloat(parseLimit(val, txt)) {
		return "must be at least " + txt
	}
	if txt, ok := tag.Lookup("max"); ok && asFloat(val) > asFloat(parseLimit(val, txt)) {
		return "must be at most " + txt
	}
	return ""
}

func parseLimit(val reflect.Value, txt string) reflect.Value {
	limit := reflect.New(val.Type()).Elem()
	if msg := setScalar(limit, scalarNode(limit, txt)); msg != "" {
		panic("bwsettings: limit " + txt + " " + msg)
	}
	return limit
}

func asFloat(val reflect.Value) float64 {
	switch {
	case val.CanInt():
		return float64(val.Int())
	case val.CanUint():
		return float64(val.Uint())
	case val.CanFloat():
		return val.Float()
	}
	panic("bwsettings: min or max on non-numeric type " + val.Type().String())
}
