package store

// Paths of the platform's HTTP interface. Each call is a POST with a JSON
// body; ListPath is a GET.
const (
	GetPath       = "/v1/get"
	PutPath       = "/v1/put"
	DeletePath    = "/v1/delete"
	KeysPath      = "/v1/keys"
	GrantPath     = "/v1/grant"
	KeepAlivePath = "/v1/keepalive"
	WatchPath     = "/v1/watch"
	ListPath      = "/v1/instances"
)

// Request is the body of every store call; each uses the fields it needs.
type Request struct {
	Key    string `json:"key,omitempty"`
	Data   []byte `json:"data,omitempty"`
	Expect int64  `json:"expect,omitempty"`
	Lease  int64  `json:"lease,omitempty"`
	TTL    int64  `json:"ttl_ms,omitempty"`
	After  int64  `json:"after,omitempty"`
	// Wait bounds a watch, in milliseconds.
	Wait int64 `json:"wait_ms,omitempty"`
}

// Answer is the body of every store answer.
type Answer struct {
	Data     []byte   `json:"data,omitempty"`
	Revision int64    `json:"revision,omitempty"`
	Lease    int64    `json:"lease,omitempty"`
	Keys     []string `json:"keys,omitempty"`
	Error    string   `json:"error,omitempty"`
	// Refused is set by the platform itself on every answer that is not
	// status 200: the call changed nothing.
	Refused bool `json:"refused,omitempty"`
}

// InstanceList is the body of the list's answer.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}
