// Package catalog holds one version of the operator's configuration: which
// request goes to which service, who may send it and what each customer may
// use. A Catalog is immutable; a newer version replaces it as a whole. The
// package does no I/O.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Limits bounds what a caller may send. Zero means no limit.
type Limits struct {
	// MaxHeaderBytes bounds the total size of all header names and values.
	MaxHeaderBytes int
	MaxBodyBytes   int
	// HeaderTimeout bounds the time to read the header of a request.
	HeaderTimeout time.Duration
	// IdleTimeout bounds how long a connection may be idle.
	IdleTimeout time.Duration
}

// Spec holds the contents of a Catalog.
type Spec struct {
	// Version increases with every configuration, not necessarily by 1.
	Version   uint64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
}

// Catalog is one version of the configuration. It is immutable.
type Catalog struct {
	spec Spec
	// routes holds the routes of each host, longest prefix first.
	routes    map[string][]Route
	services  map[string]Service
	customers map[string]Customer
	// priorities holds those of each service in increasing order.
	priorities map[string][]int
	// keyOwners maps each API key to the name of its customer.
	keyOwners map[string]string
}

// New returns the catalog of a spec.
func New(spec Spec) *Catalog {
	c := &Catalog{
		spec:      spec,
		routes:    make(map[string][]Route),
		services:  make(map[string]Service, len(spec.Services)),
		customers: make(map[string]Customer, len(spec.Customers)),
		keyOwners: make(map[string]string),

		priorities: prioritiesOf(spec),
	}
	for _, route := range spec.Routes {
		c.routes[route.Host] = append(c.routes[route.Host], route)
	}
	for _, routes := range c.routes {
		slices.SortStableFunc(routes, func(x, y Route) int { return cmp.Compare(len(y.Prefix), len(x.Prefix)) })
	}
	for _, service := range spec.Services {
		c.services[service.Name] = service
	}
	for _, customer := range spec.Customers {
		c.customers[customer.Name] = customer
		for _, key := range customer.Keys {
			c.keyOwners[key] = customer.Name
		}
	}
	return c
}

// Version returns the version of the configuration.
func (c *Catalog) Version() uint64 { return c.spec.Version }

// Limits returns the limits on what callers may send.
func (c *Catalog) Limits() Limits { return c.spec.Limits }

// LongestTimeout returns the longest timeout of the routes to a service, or zero if there is none.
func (c *Catalog) LongestTimeout(service string) time.Duration {
	longest := time.Duration(0)
	for _, route := range c.spec.Routes {
		for _, split := range route.Splits {
			if split.Service == service {
				longest = max(longest, route.Timeout)
			}
		}
	}
	return longest
}

// Services returns all services.
func (c *Catalog) Services() []Service { return c.spec.Services }

// Customers returns all customers.
func (c *Catalog) Customers() []Customer { return c.spec.Customers }

// Match returns the route of the host with the longest prefix of the path.
func (c *Catalog) Match(host, path string) (Route, bool) {
	for _, route := range c.routes[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// Service returns the service with that name.
func (c *Catalog) Service(name string) (Service, bool) {
	service, found := c.services[name]
	return service, found
}

// CustomerByKey returns the customer that owns an API key.
func (c *Catalog) CustomerByKey(key string) (Customer, bool) {
	name, found := c.keyOwners[key]
	if !found {
		return Customer{}, false
	}
	return c.customers[name], true
}

// NeedsKey reports whether requests on the route must carry an API key.
func (c *Catalog) NeedsKey(route Route) bool {
	return len(c.spec.Customers) > 0 && !route.Anonymous
}
