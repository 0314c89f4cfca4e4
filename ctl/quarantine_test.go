package ctl

import (
	"bytes"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/platform"
	"github.com/catkinrouter/catkinrouter/quarantine"
	"github.com/catkinrouter/catkinrouter/standin"
)

// startKV starts a stand-in of the platform's store and returns its address.
func startKV(t *testing.T) (kv *standin.KV, address string) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	kv = standin.NewKV()
	srv := &fasthttp.Server{Handler: kv.Handle}
	go srv.Serve(ln)
	t.Cleanup(func() { ln.Close() })
	return kv, ln.Addr().String()
}

// An operator must be able to see what is quarantined and to lift one of it, without
// touching the others.
func TestQuarantineIsListedAndLifted(t *testing.T) {
	kv, address := startKV(t)
	first, second := quarantine.NewContent([]byte("first")), quarantine.NewContent([]byte("second"))
	value, err := quarantine.Encode([]quarantine.Entry{
		{Content: first, Sequence: 1, UntilUnixMilli: time.Now().Add(time.Minute).UnixMilli()},
		{Content: second, Sequence: 4, UntilUnixMilli: time.Now().Add(time.Minute).UnixMilli()},
	})
	if err != nil {
		t.Fatal(err)
	}
	kv.Put(platform.Keys().Quarantine, value)
	run := func(want int, args ...string) string {
		t.Helper()
		var out, errs bytes.Buffer
		if code := Run(append([]string{"quarantine"}, args...), &out, &errs); code != want {
			t.Errorf("%v: exit code %d, %s", args, code, &errs)
		}
		return out.String()
	}
	if out := run(ExitOK, "-store", address); !strings.Contains(out, first.String()) || !strings.Contains(out, second.String()) {
		t.Errorf("listed %q", out)
	}
	run(ExitOK, "-store", address, "lift", first.String())
	if out := run(ExitOK, "-store", address); strings.Contains(out, first.String()) || !strings.Contains(out, second.String()) {
		t.Errorf("listed %q after one was lifted", out)
	}
	for _, args := range [][]string{
		{}, {"-store", "nowhere"}, {"-store", address, "drop"}, {"-store", address, "lift", "x"}, {"-store", address, "lift", first.String()},
	} {
		run(ExitUsage, args...)
	}
	stored, _ := kv.Get(platform.Keys().Quarantine)
	entries, err := quarantine.Decode(stored)
	if err != nil || len(entries) != 2 || entries[0].Sequence != 2 || entries[1].Sequence != 4 {
		t.Errorf("stored %+v, %v", entries, err)
	}
}
