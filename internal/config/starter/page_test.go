package starter

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net/netip"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"cardamomscale.example/cardamomscale/internal/config/decoder"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

const pageIntro = `# Configuration

This page is generated from the types: ` + "`go test ./internal/config/starter -run TestConfigurationPage -update`" + `.

All files are JSON. Unknown and repeated keys, data after the JSON value and null values
are rejected; only the objects in settings.tls may be null. An absent key takes its
default; "-" means that it is then empty. A duration is text such as
` + "`\"150ms\"` or `\"1m30s\"`" + `, and an address is text such as ` + "`\"127.0.0.1:21100\"`" + `. Names consist
of 1 to 63 letters, digits, dots, hyphens and underscores and begin with a letter or digit.
`

// pageWriter generates the configuration page from the types.
type pageWriter struct {
	strings.Builder
	t *testing.T
	// comments maps TYPE.FIELD to the doc comment of the field.
	comments map[string]string
}

// readComments reads the doc comments of all struct fields of the package in dir.
func (p *pageWriter) readComments(dir string) {
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	assert.NilError(p.t, err)
	for _, name := range files {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ParseComments)
		assert.NilError(p.t, err)
		ast.Inspect(file, func(n ast.Node) bool {
			spec, ok := n.(*ast.TypeSpec)
			if !ok {
				return true
			}
			fields, ok := spec.Type.(*ast.StructType)
			if !ok {
				return true
			}
			for _, field := range fields.Fields.List {
				for _, fieldName := range field.Names {
					p.comments[spec.Name.Name+"."+fieldName.Name] = field.Doc.Text()
				}
			}
			return true
		})
	}
}

// writeSection writes a table of the keys of v, whose values are the defaults,
// and a section for each nested object.
func (p *pageWriter) writeSection(title string, v reflect.Value) {
	fmt.Fprintf(p, "\n### %s\n\n| key | value | default | meaning |\n| --- | --- | --- | --- |\n", title)
	for i := range v.NumField() {
		field := v.Type().Field(i)
		key, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		fmt.Fprintf(p, "| `%s` | %s | %s | %s |\n", key, describeType(field.Type), formatDefault(v.Field(i)), p.fieldMeaning(v.Type().Name(), field.Name))
	}
	for i := range v.NumField() {
		field := v.Type().Field(i)
		key, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		inner := v.Field(i)
		if inner.Kind() == reflect.Pointer {
			inner = reflect.New(inner.Type().Elem()).Elem()
		}
		if isObject(inner.Type()) {
			p.writeSection("`"+strings.Trim(title, "`")+"."+key+"`", inner)
		}
	}
}

// fieldMeaning returns the doc comment of a field without the leading field name
// and "is" or "are".
func (p *pageWriter) fieldMeaning(typeName, fieldName string) string {
	comment := strings.Join(strings.Fields(p.comments[typeName+"."+fieldName]), " ")
	assert.Assert(p.t, strings.HasPrefix(comment, fieldName+" "), "comment of %s.%s is %q", typeName, fieldName, comment)
	comment = strings.TrimPrefix(comment, fieldName+" ")
	for _, verb := range []string{"is ", "are "} {
		comment = strings.TrimPrefix(comment, verb)
	}
	return strings.TrimSuffix(comment, ".")
}

func isObject(t reflect.Type) bool {
	return t.Kind() == reflect.Struct && t != reflect.TypeFor[netip.AddrPort]() && t != reflect.TypeFor[specifier.Duration]()
}

// describeType returns the description of t in the value column.
func describeType(t reflect.Type) string {
	switch reflect.Zero(t).Interface().(type) {
	case netip.AddrPort:
		return "address"
	case specifier.Duration:
		return "duration"
	case specifier.Policy:
		return quoteAllowed(specifier.Policy("").Allowed())
	case specifier.Objective:
		return quoteAllowed(specifier.Objective("").Allowed())
	case specifier.ServiceKind:
		return quoteAllowed(specifier.ServiceKind("").Allowed())
	case specifier.State:
		return quoteAllowed(specifier.State("").Allowed())
	case identifier.Class:
		return quoteAllowed(identifier.Classes())
	case LogLevel:
		return quoteAllowed(LogLevel("").Allowed())
	}
	switch t.Kind() {
	case reflect.Pointer:
		return describeType(t.Elem())
	case reflect.Slice:
		return "list of " + describeType(t.Elem())
	case reflect.Struct, reflect.Map:
		return "object"
	case reflect.Bool:
		return "`true` or `false`"
	case reflect.Float64:
		return "number"
	case reflect.Int, reflect.Int64:
		return "whole number"
	default:
		return "text"
	}
}

func quoteAllowed[T ~string](values []T) string {
	return "`" + strings.ReplaceAll(decoder.JoinValues(values), ", ", "`, `") + "`"
}

func formatDefault(v reflect.Value) string {
	switch v.Kind() {
	case reflect.String, reflect.Slice, reflect.Pointer:
		if v.IsZero() {
			return "-"
		}
	case reflect.Struct:
		if isObject(v.Type()) || v.Type() == reflect.TypeFor[netip.AddrPort]() {
			return "-"
		}
	}
	return fmt.Sprintf("`%v`", v.Interface())
}

// TestConfigurationPage fails when docs/CONFIGURATION.md differs from the page
// generated from the types, their defaults and their field comments.
func TestConfigurationPage(t *testing.T) {
	p := &pageWriter{t: t, comments: map[string]string{}}
	p.readComments(".")
	p.readComments("../specifier")
	p.WriteString(pageIntro)
	p.WriteString("\n## The fleet's configuration\n\nIt is a JSON object with the keys below. The value of each key is an object that maps names to entries.\n" +
		"Operators change it with [cardamomctl](operations/cardamomctl.md).\n\n| key | entries | meaning |\n| --- | --- | --- |\n")
	fleet := reflect.TypeFor[specifier.Fleet]()
	for i := range fleet.NumField() {
		field := fleet.Field(i)
		fmt.Fprintf(p, "| `%s` | %s | %s |\n", field.Tag.Get("json"), field.Type.Elem().Name(), p.fieldMeaning("Fleet", field.Name))
	}
	for i := range fleet.NumField() {
		field := fleet.Field(i)
		entry := reflect.New(field.Type.Elem())
		entry.Interface().(decoder.Defaulter).SetDefaults()
		p.writeSection(fmt.Sprintf("`%s.NAME`", field.Tag.Get("json")), entry.Elem())
	}
	p.WriteString("\n## A daemon's settings\n\nEach daemon reads its settings from a file when it starts.\n")
	p.writeSection("`settings`", reflect.ValueOf(DefaultSettings()))
	path, err := filepath.Abs("../../../docs/CONFIGURATION.md")
	assert.NilError(t, err)
	golden.Assert(t, p.String(), path)
}
