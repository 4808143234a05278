// Package settings decodes YAML settings files strictly. Decoding stops at the first
// error, which gives the file, the line and the field, and a process with such an error
// doesn't start.
//
// The fields of a settings struct have the tag `yaml:"name"` and, if a value is
// required, `settings:"required"`. Unknown keys are errors.
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
// Validate returns the YAML path of the invalid field and a description of the
// problem, or an empty problem if the settings are valid.
type Validator interface {
	Validate() (field, problem string)
}

// Load decodes the file at path into dst, a pointer to a settings struct. Fields that
// the file omits keep the values that dst had. Errors have the kind SettingsInvalid.
func Load(path string, dst any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fault.New(fault.SettingsInvalid, "%v", err)
	}
	return Decode(path, data, dst)
}

// Decode is like Load for data that was already read; fileName is used in errors.
func Decode(fileName string, data []byte, dst any) error {
	var doc yaml.Node
	if err := yaml.Unmarshal(data, &doc); err != nil {
		return fault.New(fault.SettingsInvalid, "%s: %v", fileName, err)
	}
	if len(doc.Content) == 0 {
		return fault.New(fault.SettingsInvalid, "%s:1: file is empty", fileName)
	}
	d := decoder{fileName: fileName, lines: map[string]int{}}
	root := doc.Content[0]
	if err := d.decode(root, reflect.ValueOf(dst).Elem(), ""); err != nil {
		return err
	}
	return d.validate(reflect.ValueOf(dst).Elem(), "", root.Line)
}

type decoder struct {
	fileName string
	// lines maps the path of each field in the file to its line.
	lines map[string]int
}

// errorAt returns an error for the field at path.
func (d *decoder) errorAt(line int, path, format string, args ...any) error {
	return fault.New(fault.SettingsInvalid, "%s:%d: field %s: %s",
		d.fileName, line, path, fmt.Sprintf(format, args...))
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
		return d.errorAt(n.Line, path, "expected a single value")
	}
	if n.Value == "" {
		return d.errorAt(n.Line, path, "value is missing")
	}
	if err := n.Decode(v.Addr().Interface()); err != nil {
		return d.errorAt(n.Line, path, "%s", trimYAMLPrefix(err))
	}
	return nil
}

// trimYAMLPrefix removes the heading that the YAML library puts before its messages.
func trimYAMLPrefix(err error) string {
	message := strings.TrimPrefix(err.Error(), "yaml: unmarshal errors:\n")
	return strings.TrimSpace(message)
}

func (d *decoder) decodeList(n *yaml.Node, v reflect.Value, path string) error {
	if n.Kind != yaml.SequenceNode {
		return d.errorAt(n.Line, path, "expected a list")
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
		return d.errorAt(n.Line, path, "expected a mapping")
	}
	fields := fieldsByYAMLName(v)
	given := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		field, ok := fields[key.Value]
		if !ok {
			return d.errorAt(key.Line, joinPath(path, key.Value), "unknown key")
		}
		if given[key.Value] {
			return d.errorAt(key.Line, joinPath(path, key.Value), "duplicate key")
		}
		given[key.Value] = true
		if err := d.decode(value, field, joinPath(path, key.Value)); err != nil {
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
			return d.errorAt(n.Line, joinPath(path, name), "value is missing")
		}
	}
	return nil
}

// validate calls Validate on every Validator in v, the innermost first.
func (d *decoder) validate(v reflect.Value, path string, line int) error {
	if at, ok := d.lines[path]; ok {
		line = at
	}
	if err := d.validateChildren(v, path, line); err != nil {
		return err
	}
	validator, ok := v.Addr().Interface().(Validator)
	if !ok {
		return nil
	}
	field, problem := validator.Validate()
	if problem == "" {
		return nil
	}
	full := joinPath(path, field)
	if at, ok := d.lines[full]; ok {
		line = at
	}
	return d.errorAt(line, full, "%s", problem)
}

func (d *decoder) validateChildren(v reflect.Value, path string, line int) error {
	switch v.Kind() {
	case reflect.Struct:
		for name, field := range fieldsByYAMLName(v) {
			if err := d.validate(field, joinPath(path, name), line); err != nil {
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

// fieldsByYAMLName returns the fields of a struct that have a yaml tag, by its value.
func fieldsByYAMLName(v reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range v.NumField() {
		if name := v.Type().Field(i).Tag.Get("yaml"); name != "" {
			fields[name] = v.Field(i)
		}
	}
	return fields
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	if name == "" {
		return path
	}
	return path + "." + name
}
