package settings

import (
	"os"
	"reflect"
	"sort"

	"gopkg.in/ini.v1"
)

// Load reads and validates a settings file. It returns a *ReadError, or a
// *FaultsError with every fault of the file.
func Load(file string) (Settings, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &ReadError{File: file, Cause: err}
	}
	return Parse(file, content)
}

// Parse parses and validates the content of a settings file. The argument file is used
// in errors only.
func Parse(file string, content []byte) (Settings, error) {
	options := ini.LoadOptions{KeyValueDelimiters: "=", IgnoreInlineComment: true}
	parsed, err := ini.LoadSources(options, content)
	if err != nil {
		return Settings{}, &ReadError{File: file, Cause: err}
	}
	reader := newReader(parsed, content)
	read := reader.read()
	if len(reader.faults) > 0 {
		return Settings{}, &FaultsError{File: file, Faults: reader.sorted()}
	}
	return read, nil
}

// reader fills Settings from a parsed file by reflection and collects the faults.
type reader struct {
	parsed *ini.File
	lines  lineIndex
	faults []Fault
}

func newReader(parsed *ini.File, content []byte) *reader {
	return &reader{parsed: parsed, lines: newLineIndex(content)}
}

func (r *reader) read() Settings {
	settings := Default()
	value := reflect.ValueOf(&settings).Elem()
	for i := range value.NumField() {
		r.readSection(value.Type().Field(i).Name, value.Field(i))
	}
	r.findUnknown(value)
	return settings
}

func (r *reader) readSection(name string, section reflect.Value) {
	keys := r.parsed.Section(name)
	for i := range section.NumField() {
		field := section.Type().Field(i)
		if keys.HasKey(field.Name) {
			r.readKey(name, field, section.Field(i), keys.Key(field.Name).String())
		}
		r.checkValue(name, field, section.Field(i))
	}
}

func (r *reader) readKey(section string, field reflect.StructField, value reflect.Value, text string) {
	if reason := assign(value, text); reason != "" {
		r.addFault(section, field.Name, reason)
	}
}

func (r *reader) checkValue(section string, field reflect.StructField, value reflect.Value) {
	if r.hasFault(section, field.Name) {
		return
	}
	if reason := checkForm(field.Tag.Get("form"), value); reason != "" {
		r.addFault(section, field.Name, reason)
		return
	}
	if reason := checkMinimum(field.Tag.Get("min"), value); reason != "" {
		r.addFault(section, field.Name, reason)
	}
}

// findUnknown reports the sections and keys that no field corresponds to.
func (r *reader) findUnknown(settings reflect.Value) {
	for _, section := range r.parsed.Sections() {
		field := settings.FieldByName(section.Name())
		if section.Name() == ini.DefaultSection {
			r.addKeyFaults(section, "the key is outside of any section")
			continue
		}
		if !field.IsValid() {
			r.addFault(section.Name(), "", "unknown section")
			continue
		}
		for _, key := range section.Keys() {
			if !field.FieldByName(key.Name()).IsValid() {
				r.addFault(section.Name(), key.Name(), "unknown key")
			}
		}
	}
}

func (r *reader) addKeyFaults(section *ini.Section, reason string) {
	for _, key := range section.Keys() {
		r.addFault("", key.Name(), reason)
	}
}

func (r *reader) addFault(section, key, reason string) {
	line := r.lines.find(section, key)
	r.faults = append(r.faults, Fault{Section: section, Key: key, Line: line, Reason: reason})
}

func (r *reader) hasFault(section, key string) bool {
	for _, fault := range r.faults {
		if fault.Section == section && fault.Key == key {
			return true
		}
	}
	return false
}

// sorted returns the faults in the order of their lines, missing keys last.
func (r *reader) sorted() []Fault {
	sort.SliceStable(r.faults, func(i, j int) bool {
		a, b := r.faults[i].Line, r.faults[j].Line
		if (a == 0) != (b == 0) {
			return b == 0
		}
		return a < b
	})
	return r.faults
}
