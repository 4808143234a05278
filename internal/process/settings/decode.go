// Package settings reads YAML settings files strictly. The first error names
// file, line and field, and nothing is started after it.
//
// A settings struct marks its fields with the tag `yaml:"name"` and, for values
// that must be given, with `settings:"required"`. Unknown keys are errors.
package settings

import (
	"fmt"
	"os"
	"reflect"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// Validator is implemented by settings whose fields depend on each other.
// Validate returns the YAML path of the wrong field and what is wrong, or "" when
// all is well.
type Validator interface {
	Validate() (field, problem string)
}

// Load reads the file at path into dst, a pointer to a settings struct. Fields
// that the file leaves out keep the values that dst had. Errors are of the kind
// SettingsInvalid.
func Load(path string, dst any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fault.New(fault.SettingsInvalid, "%v", err)
	}
	return Decode(path, data, dst)
}

// Decode is Load for data already read; name stands for the file in errors.
func Decode(name string, data []byte, dst any) error {
	var doc yaml.Node
	if err := yaml.Unmarshal(data, &doc); err != nil {
		return fault.New(fault.SettingsInvalid, "%s: %v", name, err)
	}
	if len(doc.Content) == 0 {
		return fault.New(fault.SettingsInvalid, "%s:1: file is empty", name)
	}
	d := decoder{name: name, lines: map[string]int{}}
	root := doc.Content[0]
	if err := d.decode(root, reflect.ValueOf(dst).Elem(), ""); err != nil {
		return err
	}
	return d.validate(reflect.ValueOf(dst).Elem(), "", root.Line)
}

type decoder struct {
	name string
	// lines maps the path of each field that the file gives to its line.
	lines map[string]int
}

func (d *decoder) fail(line int, path, format string, args ...any) error {
	return fault.New(fault.SettingsInvalid, "%s:%d: field %s: %s",
		d.name, line, path, fmt.Sprintf(format, args...))
}

func (d *decoder) decode(n *yaml.Node, v reflect.Value, path string) error {
	d.lines[path] = n.Line
	if _, ok := v.Addr().Interface().(yaml.Unmarshaler); ok {
		return d.decodeScalar(n, v, path)
	}
	switch v.Kind() {
	case reflect.Struct:
		return d.decodeStruct(n, v, path)
	case reflect.Slice:
		return d.decodeList(n, v, path)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		return d.decode(n, v.Elem(), path)
	default:
		return d.decodeScalar(n, v, path)
	}
}

func (d *decoder) decodeScalar(n *yaml.Node, v reflect.Value, path string) error {
	if n.Kind != yaml.ScalarNode {
		return d.fail(n.Line, path, "one value is expected")
	}
	if n.Value == "" {
		return d.fail(n.Line, path, "value is missing")
	}
	if err := n.Decode(v.Addr().Interface()); err != nil {
		return d.fail(n.Line, path, "%s", plainMessage(err))
	}
	return nil
}

func plainMessage(err error) string {
	text := strings.TrimPrefix(err.Error(), "yaml: unmarshal errors:\n")
	return strings.TrimSpace(text)
}

func (d *decoder) decodeList(n *yaml.Node, v reflect.Value, path string) error {
	if n.Kind != yaml.SequenceNode {
		return d.fail(n.Line, path, "a list is expected")
	}
	list := reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content))
	for i, item := range n.Content {
		if err := d.decode(item, list.Index(i), fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	v.Set(list)
	return nil
}

func (d *decoder) decodeStruct(n *yaml.Node, v reflect.Value, path string) error {
	if n.Kind != yaml.MappingNode {
		return d.fail(n.Line, path, "a mapping is expected")
	}
	fields := fieldsByName(v)
	given := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		field, ok := fields[key.Value]
		if !ok {
			return d.fail(key.Line, join(path, key.Value), "unknown key")
		}
		if given[key.Value] {
			return d.fail(key.Line, join(path, key.Value), "key is given twice")
		}
		given[key.Value] = true
		if err := d.decode(value, field, join(path, key.Value)); err != nil {
			return err
		}
	}
	return d.checkRequired(n, v, path, given)
}

func (d *decoder) checkRequired(n *yaml.Node, v reflect.Value, path string, given map[string]bool) error {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		name := f.Tag.Get("yaml")
		if f.Tag.Get("settings") == "required" && !given[name] {
			return d.fail(n.Line, join(path, name), "value is missing")
		}
	}
	return nil
}

// validate calls every Validator below v, children first.
func (d *decoder) validate(v reflect.Value, path string, line int) error {
	if at, ok := d.lines[path]; ok {
		line = at
	}
	if err := d.validateChildren(v, path, line); err != nil {
		return err
	}
	checker, ok := v.Addr().Interface().(Validator)
	if !ok {
		return nil
	}
	field, problem := checker.Validate()
	if problem == "" {
		return nil
	}
	full := join(path, field)
	if at, ok := d.lines[full]; ok {
		line = at
	}
	return d.fail(line, full, "%s", problem)
}

func (d *decoder) validateChildren(v reflect.Value, path string, line int) error {
	switch v.Kind() {
	case reflect.Struct:
		for name, field := range fieldsByName(v) {
			if err := d.validate(field, join(path, name), line); err != nil {
				return err
			}
		}
	case reflect.Slice:
		for i := range v.Len() {
			if err := d.validate(v.Index(i), fmt.Sprintf("%s[%d]", path, i), line); err != nil {
				return err
			}
		}
	case reflect.Pointer:
		if !v.IsNil() {
			return d.validate(v.Elem(), path, line)
		}
	}
	return nil
}

func fieldsByName(v reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range v.NumField() {
		if name := v.Type().Field(i).Tag.Get("yaml"); name != "" {
			fields[name] = v.Field(i)
		}
	}
	return fields
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	if name == "" {
		return path
	}
	return path + "." + name
}
