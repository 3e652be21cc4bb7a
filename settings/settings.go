// Package settings loads the INI file of a daemon and reports all of its faults at
// once.
package settings

import "time"

// Settings is the validated content of a settings file. Each field of Settings is a
// section of the file, and each field of a section's struct is a key; the names of
// the fields are the names in the file.
type Settings struct {
	Daemon   Daemon
	Callers  Callers
	Peers    Peers
	Admin    Admin
	Platform Platform
	Claims   Claims
	Backends Backends
	Retries  Retries
	Routing  Routing
	Orders   Orders
	Timeline Timeline
}

// Daemon identifies the VM of the daemon and configures its planned stop.
type Daemon struct {
	Name           string        `form:"name" doc:"Name of the entry VM, as the VM list has it."`
	Region         string        `form:"name" doc:"Region of the entry VM."`
	Zone           string        `form:"name" doc:"Availability zone of the entry VM."`
	LeaveDelay     time.Duration `min:"0s" doc:"Time between readiness going off and the callers' listener closing at a planned stop, so that the balancer notices."`
	DrainTimeout   time.Duration `min:"1s" doc:"Longest time that a planned stop waits for requests in flight."`
	MemoryBytes    int           `min:"0" doc:"Memory of the process in bytes, from which the limits on connections, header sections and bodies follow; 0 if it is unknown, for the limits of 184 MB."`
	MaxDescriptors int           `min:"0" doc:"Descriptors of the process, from which the limits on connections follow as well; 0 if they are unknown: then memory alone bounds those of callers, and 1,024 those of other daemons."`
}

// Callers configures the listener for callers.
type Callers struct {
	Address         string        `form:"hostport" doc:"Address of the listener for callers."`
	MaxBodyBytes    int           `min:"1024" doc:"Largest request body, in bytes."`
	MaxHeaderBytes  int           `min:"1024" doc:"Largest request header, in bytes."`
	MaxInFlight     int           `min:"1" doc:"Most requests in flight; further ones are refused at once."`
	DefaultDeadline time.Duration `min:"100ms" doc:"Time in which a request has to end when its plan names no deadline."`
	ReadTimeout     time.Duration `min:"100ms" doc:"Longest time for reading one request."`
}

// Peers configures the exchange with other daemons.
type Peers struct {
	Address      string        `form:"hostport" doc:"Address of the listener for other daemons."`
	Interval     time.Duration `min:"50ms" doc:"Time between two exchanges with peers."`
	CallTimeout  time.Duration `min:"50ms" doc:"Longest time for one call to a peer."`
	RelayTimeout time.Duration `min:"50ms" doc:"Longest time for asking the winner of a claim for its answer."`
}

// Admin configures the administration listener.
type Admin struct {
	Address string `form:"hostport" doc:"Address of the administration listener."`
}

// Platform configures the clients of the platform's services.
type Platform struct {
	Log                 string        `form:"url" doc:"Base URL of the log service."`
	VMList              string        `form:"url" doc:"Base URL of the VM list."`
	Cloud               string        `form:"url" doc:"Base URL of the cloud API."`
	WeightStore         string        `form:"url" doc:"Base URL of the weight store."`
	ConfigurationStream string        `form:"name" doc:"Stream of the log service that holds the plans and allowances."`
	ClaimStream         string        `form:"name" doc:"Stream of the log service that holds the claims of the region."`
	Timeout             time.Duration `min:"50ms" doc:"Longest time for one request to a platform service, long polls aside."`
	PollInterval        time.Duration `min:"10ms" doc:"Time between two reads of the VM list."`
	LongPoll            time.Duration `min:"10ms" doc:"Time for which the log service and the cloud API hold a read that has nothing to return."`
}

// Claims configures the claims by which the daemons agree on who runs a
// non-idempotent request with a key.
type Claims struct {
	FlushInterval time.Duration `min:"1ms" doc:"Time for which claims are gathered into one append."`
	Timeout       time.Duration `min:"50ms" doc:"Longest time for one claim. A request whose claim takes longer is given up at once."`
	KeyLifetime   time.Duration `min:"1m" doc:"Time for which a key stays claimed. It has to be below the retention of the log service."`
	Retention     time.Duration `min:"1m" doc:"Time for which the log service is sure to keep records. It has to be above KeyLifetime."`
	MaxClaims     int           `min:"1" doc:"Most claims within one key lifetime, over all daemons; further ones are refused. The same at all daemons."`
	AnswerBytes   int           `min:"1024" doc:"Memory for recent answers that other daemons may ask for, in bytes."`
}

// Backends configures the connections to backend servers.
type Backends struct {
	ConnectTimeout time.Duration `min:"10ms" doc:"Longest time for opening a connection to a backend server."`
	Silence        time.Duration `min:"100ms" doc:"Longest time without data from a backend server, such as an event of a stream, before the request is sent to another one as well."`
	MaxAnswerBytes int           `min:"1024" doc:"Largest answer of a backend server that is not streamed, in bytes."`
}

// Retries configures the retries of idempotent requests.
type Retries struct {
	MaxAttempts int     `min:"1" doc:"Most attempts for one request, the first one included."`
	BudgetShare float64 `min:"0" doc:"Retries that are allowed per request of recent traffic."`
	BudgetFloor float64 `min:"0" doc:"Retries a second that are allowed whatever the traffic."`
}

// Routing configures the choice of backend servers.
type Routing struct {
	ZoneDelay       time.Duration `min:"0s" doc:"One-way network delay to another availability zone of the region."`
	ServiceTime     time.Duration `min:"1ms" doc:"Time in which a plain service answers a request when it is not overloaded."`
	ServiceParallel int           `min:"1" doc:"Requests that a plain service answers side by side in that time."`
}

// The values of Orders.Mode.
const (
	// OrdersReplace starts VMs in place of lost ones.
	OrdersReplace = "Replace"
	// OrdersOff sends no orders.
	OrdersOff = "Off"
)

// Orders configures the replacement of lost VMs by the one daemon that holds the
// lease of the region.
type Orders struct {
	Mode     string        `form:"mode" doc:"Replace starts VMs in place of lost ones, in the cheapest class and zone that the plans allow; Off leaves that to others."`
	Stream   string        `form:"name" doc:"Stream of the log service that holds the leases."`
	Lease    time.Duration `min:"1s" doc:"Time that a lease is valid after its last renewal."`
	Margin   time.Duration `min:"100ms" doc:"Time that other daemons wait beyond the lease, for clocks of different rates."`
	Renewal  time.Duration `min:"100ms" doc:"Time between two renewals."`
	Interval time.Duration `min:"100ms" doc:"Time between two decisions."`
}

// Timeline configures the time line of events.
type Timeline struct {
	Capacity int `min:"16" doc:"Events that the daemon keeps; older ones are dropped."`
}

// Default returns the values of the keys that a file leaves out. Keys without a
// default here are required.
func Default() Settings {
	return Settings{
		Daemon: Daemon{
			LeaveDelay:   2 * time.Second,
			DrainTimeout: 60 * time.Second,
		},
		Callers: Callers{
			MaxBodyBytes:    4 << 20,
			MaxHeaderBytes:  32 << 10,
			MaxInFlight:     2048,
			DefaultDeadline: 60 * time.Second,
			ReadTimeout:     10 * time.Second,
		},
		Peers: Peers{
			Interval:     500 * time.Millisecond,
			CallTimeout:  time.Second,
			RelayTimeout: 10 * time.Second,
		},
		Platform: Platform{
			ConfigurationStream: "Configuration",
			ClaimStream:         "Claims",
			Timeout:             2 * time.Second,
			PollInterval:        time.Second,
			LongPoll:            10 * time.Second,
		},
		Claims: Claims{
			FlushInterval: 5 * time.Millisecond,
			Timeout:       3 * time.Second,
			KeyLifetime:   24 * time.Hour,
			Retention:     48 * time.Hour,
			MaxClaims:     100_000,
			AnswerBytes:   8 << 20,
		},
		Backends: Backends{
			ConnectTimeout: time.Second,
			Silence:        10 * time.Second,
			MaxAnswerBytes: 16 << 20,
		},
		Retries: Retries{
			MaxAttempts: 4,
			BudgetShare: 0.1,
			BudgetFloor: 2,
		},
		Routing: Routing{
			ZoneDelay:       time.Millisecond,
			ServiceTime:     100 * time.Millisecond,
			ServiceParallel: 16,
		},
		Orders: Orders{
			Mode:     OrdersReplace,
			Stream:   "Leases",
			Lease:    10 * time.Second,
			Margin:   2 * time.Second,
			Renewal:  3 * time.Second,
			Interval: 5 * time.Second,
		},
		Timeline: Timeline{
			Capacity: 4096,
		},
	}
}
