package config

import (
	"context"
	"encoding/json"
	"time"

	"github.com/catkinrouter/catkinrouter/store"
)

// Keys in the platform's store.
const (
	// HeadKey is the key of the Head.
	HeadKey = "catkin/config/head"
	// PlanPrefix and a plan's ID form the key of the plan.
	PlanPrefix = "catkin/config/plan/"
)

const (
	// PlanLifetime is the time after which a plan expires. Its key is attached
	// to a lease, so that the store removes it.
	PlanLifetime = time.Hour
	// maxConfirmTries is the maximum number of times that one confirm writes
	// the head and reads it back.
	maxConfirmTries = 8
)

// Committer creates and confirms plans in the platform's store. It keeps no
// state between calls and is safe for concurrent use.
type Committer struct {
	store store.Store
	now   func() time.Time
	count func(Event)
}

// Event is the name of an event in a Committer, for counters.
type Event string

// Events of a Committer.
const (
	EventPlanned       Event = "planned"
	EventAccepted      Event = "accepted"
	EventRepeated      Event = "repeated"       // confirm of a plan that was already accepted
	EventReadBack      Event = "read-back"      // write without an answer; the head is read back
	EventRetryConflict Event = "retry-conflict" // write refused because the head changed first
	EventStale         Event = "stale"
	EventUnknownPlan   Event = "unknown-plan"
	EventUnsettled     Event = "unsettled"
	EventUnavailable   Event = "unavailable"
	EventIndefinite    Event = "indefinite"
	EventInvalid       Event = "invalid"
	EventCorrupt       Event = "corrupt"
)

// Option configures a Committer.
type Option func(*Committer)

// WithClock sets the clock for the times of commits.
func WithClock(now func() time.Time) Option { return func(c *Committer) { c.now = now } }

// WithCount sets a function that is called with each event. It must be safe
// for concurrent use.
func WithCount(count func(Event)) Option { return func(c *Committer) { c.count = count } }

// NewCommitter returns a Committer that uses store.
func NewCommitter(store store.Store, opts ...Option) *Committer {
	c := &Committer{store: store, now: time.Now, count: func(Event) {}}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Head reads the head and the store revision of its key. It returns the zero
// Head if no plan was confirmed yet.
func (c *Committer) Head(ctx context.Context) (Head, int64, error) {
	v, err := c.store.Get(ctx, HeadKey)
	if store.IsKind(err, store.NotFound) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	h, err := DecodeHead(v.Data)
	return h, v.Revision, err
}

// DecodeHead decodes the value of HeadKey. It returns a *CorruptError if the
// value cannot be decoded or is inconsistent.
func DecodeHead(b []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(b, &h); err != nil {
		return Head{}, &CorruptError{Key: HeadKey, Err: err}
	}
	if !h.consistent() {
		return Head{}, &CorruptError{Key: HeadKey, Err: errMismatch}
	}
	return h, nil
}

// Plan checks doc, stores a plan for it and returns the plan. Its error joins
// one or more *CheckError, or is an *UnavailableError or a *CorruptError.
func (c *Committer) Plan(ctx context.Context, doc *Document) (*Plan, error) {
	return c.plan(ctx, func(*Document) (*Document, error) { return doc, nil })
}

// PlanIntent applies in to the document in force and plans the result.
func (c *Committer) PlanIntent(ctx context.Context, in *Intent) (*Plan, error) {
	return c.plan(ctx, in.Apply)
}

// plan applies edit to the document in force, which is nil if no plan was
// confirmed yet, and stores a plan for the result.
func (c *Committer) plan(ctx context.Context, edit func(*Document) (*Document, error)) (*Plan, error) {
	h, _, err := c.Head(ctx)
	if err != nil {
		return nil, c.storeError("", err)
	}
	from, err := h.document()
	if err != nil {
		return nil, c.storeError("", err)
	}
	to, err := edit(from)
	if err == nil {
		err = to.Check()
	}
	if err != nil {
		c.count(EventInvalid)
		return nil, err
	}
	p, err := newPlan(h.Revision, from, to)
	if err != nil {
		return nil, err
	}
	if err := c.storePlan(ctx, p); err != nil {
		return nil, c.storeError("", err)
	}
	c.count(EventPlanned)
	return p, nil
}

// document decodes the head's document. It returns nil for the zero Head.
func (h *Head) document() (*Document, error) {
	if h.Revision == 0 {
		return nil, nil
	}
	doc, err := h.Decode()
	if err != nil {
		return nil, &CorruptError{Key: HeadKey, Err: err}
	}
	return doc, nil
}

// storePlan writes p under a lease. The stored record omits the fields that
// can be computed from the documents.
func (c *Committer) storePlan(ctx context.Context, p *Plan) error {
	record := Plan{ID: p.ID, Base: p.Base, Digest: p.Digest, Document: p.Document, Summary: p.Summary}
	b, err := json.Marshal(record)
	if err != nil {
		return err
	}
	lease, err := c.store.Grant(ctx, PlanLifetime.Milliseconds())
	if err != nil {
		return err
	}
	_, err = c.store.Put(ctx, PlanPrefix+p.ID, b, 0, lease)
	if store.IsKind(err, store.Conflict) {
		return nil // the same plan is already stored
	}
	return err
}

// readPlan returns the stored record of a plan, or nil if there is none.
func (c *Committer) readPlan(ctx context.Context, id string) (*Plan, error) {
	v, err := c.store.Get(ctx, PlanPrefix+id)
	if store.IsKind(err, store.NotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	p := &Plan{}
	if err := json.Unmarshal(v.Data, p); err != nil {
		return nil, &CorruptError{Key: PlanPrefix + id, Err: err}
	}
	if p.ID != id || p.ID != planID(p.Base, p.Document) {
		return nil, &CorruptError{Key: PlanPrefix + id, Err: errMismatch}
	}
	return p, nil
}

// storeError counts a failed store request and wraps its error. A
// *CorruptError is returned as it is.
func (c *Committer) storeError(plan string, err error) error {
	if _, ok := err.(*CorruptError); ok {
		c.count(EventCorrupt)
		return err
	}
	c.count(EventUnavailable)
	return &UnavailableError{Plan: plan, Err: err}
}
