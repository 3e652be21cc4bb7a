package main

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cranberrywalk/cranberrywalk/standin/cloud"
)

// ZoneFactorError reports that the value of a flag is not ZONE=FACTOR.
type ZoneFactorError struct {
	Value string
}

// Error implements error.
func (e *ZoneFactorError) Error() string {
	return fmt.Sprintf("%q is not ZONE=FACTOR with a positive factor", e.Value)
}

// zoneFactors is a repeatable flag; each value sets the price factor of one zone.
type zoneFactors struct {
	parameters *cloud.Parameters
}

// String implements pflag.Value.
func (z zoneFactors) String() string { return "" }

// Type implements pflag.Value.
func (z zoneFactors) Type() string { return "zone=factor" }

// Set implements pflag.Value.
func (z zoneFactors) Set(text string) error {
	zone, number, _ := strings.Cut(text, "=")
	factor, err := strconv.ParseFloat(number, 64)
	if err != nil || zone == "" || factor <= 0 {
		return &ZoneFactorError{Value: text}
	}
	if z.parameters.ZoneFactors == nil {
		z.parameters.ZoneFactors = map[string]float64{}
	}
	z.parameters.ZoneFactors[zone] = factor
	return nil
}
