package settings

import (
	"fmt"
	"net"
	"net/url"
	"reflect"
	"regexp"
	"strconv"
	"time"
)

// namePattern matches valid names of VMs, zones, regions and streams.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

var durationType = reflect.TypeFor[time.Duration]()

// assign parses text and stores the value in a field. It returns the reason when
// the text is invalid, else the empty string.
func assign(value reflect.Value, text string) string {
	if value.Type() == durationType {
		return assignDuration(value, text)
	}
	switch value.Kind() {
	case reflect.Int:
		number, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Sprintf("%q is not a whole number", text)
		}
		value.SetInt(int64(number))
	case reflect.Float64:
		number, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Sprintf("%q is not a number", text)
		}
		value.SetFloat(number)
	default:
		value.SetString(text)
	}
	return ""
}

func assignDuration(value reflect.Value, text string) string {
	duration, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Sprintf("%q is not a duration such as 500ms or 2s", text)
	}
	value.SetInt(int64(duration))
	return ""
}

// checkForm validates text fields by their form tag: a name, a mode, a host:port
// pair or a base URL. Fields with a form are required. It returns the reason when
// the value is invalid, else the empty string.
func checkForm(form string, value reflect.Value) string {
	if form == "" {
		return ""
	}
	text := value.String()
	if text == "" {
		return "the key is required"
	}
	switch form {
	case "name":
		if !namePattern.MatchString(text) {
			return fmt.Sprintf("%q is not a name of letters, digits, dots, dashes and underscores", text)
		}
	case "mode":
		if text != OrdersReplace && text != OrdersOff {
			return fmt.Sprintf("%q is neither %s nor %s", text, OrdersReplace, OrdersOff)
		}
	case "hostport":
		return checkHostPort(text)
	case "url":
		return checkURL(text)
	}
	return ""
}

func checkHostPort(text string) string {
	host, port, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil {
		return fmt.Sprintf("%q is not an IP number and port such as 127.0.0.1:8080", text)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Sprintf("%q is not a port", port)
	}
	return ""
}

func checkURL(text string) string {
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return fmt.Sprintf("%q is not an http or https URL", text)
	}
	return ""
}

// checkMinimum validates numbers and durations against their min tag. It returns
// the reason when the value is too small, else the empty string.
func checkMinimum(minimum string, value reflect.Value) string {
	if minimum == "" {
		return ""
	}
	least := reflect.New(value.Type()).Elem()
	if reason := assign(least, minimum); reason != "" {
		return reason
	}
	if isBelow(value, least) {
		return fmt.Sprintf("%v is below the smallest value %s", value.Interface(), minimum)
	}
	return ""
}

func isBelow(value, least reflect.Value) bool {
	// The negated comparison of floats is also true for NaN.
	if value.Kind() == reflect.Float64 {
		return !(value.Float() >= least.Float())
	}
	return value.Int() < least.Int()
}
