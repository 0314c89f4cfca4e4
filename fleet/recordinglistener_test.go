package fleet

import (
	"sync"
	"time"

	"github.com/catkinrouter/catkinrouter/mirror"
)

// recordingListener is a Listener that records what it receives.
type recordingListener struct {
	mu       sync.Mutex
	values   map[string]string
	received []string // all received values
	live     int
	returned int
	warned   []Warning
	// crashReports holds all received reports.
	crashReports []CrashReport
	// granted holds all received replies to token requests.
	granted []TokenReply
	view    View
}

func (l *recordingListener) ItemsChanged(_ time.Duration, items []mirror.Item, _ string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, it := range items {
		l.values[it.Key] = string(it.Value)
		l.received = append(l.received, string(it.Value))
	}
}

func (l *recordingListener) StoreRecovered(time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.returned++
}

func (l *recordingListener) ActiveVersion() uint64                          { return 0 }
func (l *recordingListener) LostConfiguration() (it mirror.Item, lost bool) { return it, false }
func (l *recordingListener) LostConfigurationReceived(mirror.Item, string)  {}
func (l *recordingListener) UnstoredQuarantine() []byte                     { return nil }
func (l *recordingListener) QuarantineReceived([]byte, string)              {}

func (l *recordingListener) TokensRequested(_ time.Duration, _ string, r TokenRequest) TokenReply {
	return TokenReply{Number: r.Number, Customer: r.Customer, Granted: r.Want, Backup: r.Backup}
}

func (l *recordingListener) TokensGranted(_ time.Duration, r TokenReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.granted = append(l.granted, r)
}

func (l *recordingListener) CrashReported(_ time.Duration, r CrashReport) (suspected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashReports = append(l.crashReports, r)
	return len(l.crashReports) > 1
}

func (l *recordingListener) MembersChanged(_ time.Duration, v View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.live, l.view = v.Live(), v
}

func (l *recordingListener) WarningReceived(_ time.Duration, w Warning) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.warned = append(l.warned, w)
}

func (l *recordingListener) value(key string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.values[key]
}
