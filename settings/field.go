package settings

import (
	"fmt"
	"reflect"
)

// Field describes one key of the settings file.
type Field struct {
	Section string
	Key     string
	// Default is empty when the key is required.
	Default string
	// Doc is the description of the key for operators.
	Doc string
}

// Fields returns all keys in the order of the fields of Settings.
func Fields() []Field {
	var fields []Field
	defaults := reflect.ValueOf(Default())
	for i := range defaults.NumField() {
		section := defaults.Field(i)
		for j := range section.NumField() {
			field := section.Type().Field(j)
			fields = append(fields, Field{
				Section: defaults.Type().Field(i).Name,
				Key:     field.Name,
				Default: fmt.Sprint(section.Field(j).Interface()),
				Doc:     field.Tag.Get("doc"),
			})
		}
	}
	return fields
}

// Row returns the field's Markdown table row on the settings page.
func Row(field Field) string {
	value := field.Default
	if value == "" {
		value = "required"
	}
	return fmt.Sprintf("| `%s` | %s | %s |", field.Key, value, field.Doc)
}
