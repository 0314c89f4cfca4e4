package fleet

import (
	"context"
	"time"

	"github.com/catkinrouter/catkinrouter/mirror"
	"github.com/catkinrouter/catkinrouter/store"
)

// watch ends with the next change, or after the wait of c.
func (s *simulation) watch(c dueRead, done func(mirror.Delta, error)) {
	ended := false
	end := func() {
		switch {
		case ended:
			return
		case s.storeOut:
			done(mirror.Delta{}, &store.Error{Kind: store.Unavailable})
		default:
			done(s.since(c.after), nil)
		}
		ended = true
	}
	if s.revision > c.after {
		s.At(s.Now+storeLatency, end)
		return
	}
	s.watches = append(s.watches, func() { s.At(s.Now+storeLatency, end) })
	s.At(s.Now+c.wait, end)
}

func (s *simulation) put(key, value string) store.Revision {
	s.revision++
	it := mirror.Item{Key: key, Value: []byte(value), Revision: s.revision}
	found := false
	for i := range s.items {
		if s.items[i].Key == key {
			s.items[i], found = it, true
		}
	}
	if !found {
		s.items = append(s.items, it)
	}
	waiting := s.watches
	s.watches = nil
	for _, w := range waiting {
		w()
	}
	return s.revision
}

func (s *simulation) full() mirror.Delta {
	s.answeredAt = s.Now
	return mirror.Delta{Full: true, Revision: s.revision, Items: append([]mirror.Item(nil), s.items...)}
}

func (s *simulation) since(after store.Revision) mirror.Delta {
	s.answeredAt = s.Now
	d := mirror.Delta{Base: after, Revision: s.revision}
	for _, it := range s.items {
		if it.Revision > after {
			d.Items = append(d.Items, it)
		}
	}
	return d
}

func (s *simulation) directory() ([]byte, error) {
	for _, it := range s.items {
		if it.Key == "directory" {
			return it.Value, nil
		}
	}
	return nil, &store.Error{Kind: store.NotFound}
}

// simSource implements the writes of the Source; reads go by simInstance.read.
type simSource struct{ s *simulation }

func (c simSource) Write(_ context.Context, key string, value []byte, _ store.Revision) error {
	c.s.calls++
	if c.s.storeOut {
		return &store.Error{Kind: store.Unavailable}
	}
	c.s.put(key, string(value))
	return nil
}

func (c simSource) ReadAll(context.Context) (mirror.Delta, error)      { panic("not used") }
func (c simSource) ReadAllStale(context.Context) (mirror.Delta, error) { panic("not used") }
func (c simSource) ReadStale(context.Context, string) ([]byte, error)  { panic("not used") }
func (c simSource) Watch(context.Context, store.Revision, time.Duration) (mirror.Delta, error) {
	panic("not used")
}

// simListener is the Listener of a simulated instance: it records the view and counts crash
// reports.
type simListener struct{ in *simInstance }

func (l simListener) ItemsChanged(time.Duration, []mirror.Item, string) {}
func (l simListener) StoreRecovered(time.Duration)                      {}
func (l simListener) ActiveVersion() uint64                             { return 0 }
func (l simListener) LostConfiguration() (it mirror.Item, lost bool)    { return it, false }
func (l simListener) LostConfigurationReceived(mirror.Item, string)     {}
func (l simListener) MembersChanged(_ time.Duration, v View)            { l.in.view = v }
func (l simListener) WarningReceived(time.Duration, Warning)            {}

func (l simListener) CrashReported(_ time.Duration, r CrashReport) (suspected bool) {
	l.in.crashReports[r.Content]++
	return l.in.crashReports[r.Content] > 1
}

func (l simListener) TokensRequested(time.Duration, string, TokenRequest) (r TokenReply) { return r }
func (l simListener) TokensGranted(time.Duration, TokenReply)                            {}

func (l simListener) UnstoredQuarantine() []byte        { return nil }
func (l simListener) QuarantineReceived([]byte, string) {}
