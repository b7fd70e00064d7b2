package bwadmin

import (
	"encoding"
	"net/http"
	"reflect"
	"strings"
	"time"

	"bilberrywick/io/bwhttp"
)

// These types encode an OpenAPI 3.1 document; that standard defines the member names.
type (
	openAPI struct {
		OpenAPI    string                          `json:"openapi"`
		Info       openAPIInfo                     `json:"info"`
		Paths      map[string]map[string]operation `json:"paths"`
		Components components                      `json:"components"`
	}
	openAPIInfo struct {
		Title   string `json:"title"`
		Version string `json:"version"`
	}
	operation struct {
		Summary     string                `json:"summary"`
		Parameters  []openAPIParameter    `json:"parameters,omitempty"`
		RequestBody *content              `json:"requestBody,omitempty"`
		Responses   map[string]content    `json:"responses"`
		Security    []map[string][]string `json:"security"`
	}
	openAPIParameter struct {
		Name        string `json:"name"`
		In          string `json:"in"`
		Required    bool   `json:"required"`
		Description string `json:"description"`
		Schema      schema `json:"schema"`
	}
	content struct {
		Description string           `json:"description"`
		Content     map[string]media `json:"content,omitempty"`
	}
	media struct {
		Schema schema `json:"schema"`
	}
	schema struct {
		Ref        string            `json:"$ref,omitempty"`
		Type       string            `json:"type,omitempty"`
		Format     string            `json:"format,omitempty"`
		Items      *schema           `json:"items,omitempty"`
		Properties map[string]schema `json:"properties,omitempty"`
	}
	components struct {
		Schemas         map[string]schema         `json:"schemas"`
		SecuritySchemes map[string]securityScheme `json:"securitySchemes"`
	}
	securityScheme struct {
		Type   string `json:"type"`
		Scheme string `json:"scheme"`
	}
)

const operatorScheme = "OperatorKey"

func openAPIHandler(routes []route) http.Handler {
	doc := newOpenAPI(routes)
	return http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		_ = bwhttp.WriteJSON(rw, http.StatusOK, doc)
	})
}

func newOpenAPI(routes []route) *openAPI {
	doc := &openAPI{
		OpenAPI: "3.1.0",
		Info:    openAPIInfo{Title: "Bilberrywick administration", Version: "v1"},
		Paths:   make(map[string]map[string]operation),
		Components: components{
			Schemas:         make(map[string]schema),
			SecuritySchemes: map[string]securityScheme{operatorScheme: {Type: "http", Scheme: "bearer"}},
		},
	}
	for _, rt := range routes {
		if doc.Paths[rt.path] == nil {
			doc.Paths[rt.path] = make(map[string]operation)
		}
		doc.Paths[rt.path][strings.ToLower(rt.method)] = doc.newOperation(rt)
	}
	return doc
}

func (doc *openAPI) newOperation(rt route) operation {
	opr := operation{
		Summary:   rt.summary,
		Responses: map[string]content{"200": {Description: "Success"}},
		Security:  []map[string][]string{},
	}
	if !rt.public {
		opr.Security = append(opr.Security, map[string][]string{operatorScheme: {}})
	}
	for _, par := range rt.params {
		opr.Parameters = append(opr.Parameters, openAPIParameter{
			Name: par.name, In: par.in, Required: par.required, Description: par.summary,
			Schema: schema{Type: par.typ},
		})
	}
	if rt.request != nil {
		body := doc.jsonContent("The request", bwhttp.JSONContentType, rt.request)
		opr.RequestBody = &body
	}
	if rt.response != nil {
		opr.Responses["200"] = doc.jsonContent("Success", bwhttp.JSONContentType, rt.response)
	}
	opr.Responses["default"] = doc.jsonContent("Problem details", bwhttp.ProblemContentType, reflect.TypeFor[problem]())
	return opr
}

func (doc *openAPI) jsonContent(description, mediaType string, typ reflect.Type) content {
	return content{Description: description, Content: map[string]media{mediaType: {Schema: doc.typeSchema(typ)}}}
}

// typeSchema returns the schema of a type and adds the structs in it to the components.
func (doc *openAPI) typeSchema(typ reflect.Type) schema {
	if typ.Kind() == reflect.Pointer {
		return doc.typeSchema(typ.Elem())
	}
	if typ == reflect.TypeFor[time.Time]() {
		return schema{Type: "string", Format: "date-time"}
	}
	if typ.Implements(reflect.TypeFor[encoding.TextMarshaler]()) {
		return schema{Type: "string"}
	}
	switch typ.Kind() {
	case reflect.Struct:
		return doc.structSchema(typ)
	case reflect.Slice, reflect.Array:
		item := doc.typeSchema(typ.Elem())
		return schema{Type: "array", Items: &item}
	case reflect.String:
		return schema{Type: "string"}
	case reflect.Bool:
		return schema{Type: "boolean"}
	case reflect.Float32, reflect.Float64:
		return schema{Type: "number"}
	}
	return schema{Type: "integer"}
}

func (doc *openAPI) structSchema(typ reflect.Type) schema {
	name := strings.ToUpper(typ.Name()[:1]) + typ.Name()[1:]
	ref := schema{Ref: "#/components/schemas/" + name}
	if _, ok := doc.Components.Schemas[name]; ok {
		return ref
	}
	sch := schema{Type: "object", Properties: make(map[string]schema)}
	doc.Components.Schemas[name] = sch
	for _, sf := range reflect.VisibleFields(typ) {
		if !sf.IsExported() || sf.Anonymous || sf.Tag.Get("json") == "-" {
			continue
		}
		field, _, _ := strings.Cut(sf.Tag.Get("json"), ",")
		if field == "" {
			field = sf.Name
		}
		sch.Properties[field] = doc.typeSchema(sf.Type)
	}
	return ref
}
