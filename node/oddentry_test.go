package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// oddEntries are entries that another program may write among those of the upstreams.
// %s is the address of a live upstream.
var oddEntries = map[string]string{
	"deeply-nested":      strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000),
	"nested-in-a-field":  `{"service":"tienda","address":%q,"zone":"otavalo","slots":6,"state":"ready","sequence":1,"more":` + strings.Repeat(`{"a":`, 100_000) + "1" + strings.Repeat("}", 100_000) + "}",
	"number-too-large":   `{"service":"tienda","address":%q,"zone":"otavalo","slots":1e999,"state":"ready","sequence":1}`,
	"slots-too-many":     `{"service":"tienda","address":%q,"zone":"otavalo","slots":9223372036854775807,"state":"ready","sequence":1}`,
	"cold-for-ever":      `{"service":"tienda","address":%q,"zone":"otavalo","slots":6,"state":"ready","sequence":1,"coldLeftMs":1e300}`,
	"sequence-too-large": `{"service":"tienda","address":%q,"zone":"otavalo","slots":6,"state":"ready","sequence":9223372036854775807}`,
	"born-too-late":      `{"service":"tienda","address":%q,"zone":"otavalo","slots":6,"state":"ready","sequence":1,"born":9223372036854775807}`,
	"port-out-of-range":  `{"service":"tienda","address":"127.0.0.1:65536","zone":"otavalo","slots":6,"state":"ready","sequence":1}`,
	"port-zero":          `{"service":"tienda","address":"127.0.0.1:0","zone":"otavalo","slots":6,"state":"ready","sequence":1}`,
	"port-negative":      `{"service":"tienda","address":"127.0.0.1:-1","zone":"otavalo","slots":6,"state":"ready","sequence":1}`,
	"large":              `{"service":"tienda","address":"` + strings.Repeat("1", 900_000) + `"}`,
	"x\r\nX-Added: 1":    `{"service":"tienda","address":%q,"zone":"otavalo","slots":6,"state":"ready","sequence":1}`,
}

// One odd entry among those of the upstreams ended the instances that read it, kept them
// from following the others, or got requests.
func TestOddEntryHarmsNoOther(t *testing.T) {
	for name, text := range oddEntries {
		t.Run(fmt.Sprintf("%.20q", name), func(t *testing.T) {
			s := newSite(t, 2)
			a, b := newBackend(t, "i-a"), newBackend(t, "i-b")
			a.register(s.kv, "tienda", "ready", 1)
			configure(s.kv, 1, "/x/", "tienda")
			s.waitAll("/x/1", 200, "i-a")
			odd := newBackend(t, name)
			if strings.Contains(text, "%q") {
				text = fmt.Sprintf(text, odd.addr)
			}
			s.kv.Put("servers/"+name, []byte(text))
			a.register(s.kv, "tienda", "draining", 2)
			b.register(s.kv, "tienda", "ready", 1) // who knows of it knows that the other is draining
			s.waitAll("/x/1", 200, "i-b")
			s.list = append(s.list, s.start(2)) // one that reads the entry at its start
			s.waitAll("/x/1", 200, "i-b")
			for _, r := range s.list {
				for range 20 {
					if status, body := r.call("/x/1"); status != http.StatusOK || body != "i-b" {
						t.Fatalf("status %d, %q", status, body)
					}
				}
			}
			if n := odd.requestCount(); n > 0 {
				t.Errorf("%d requests reached the odd entry's upstream", n)
			}
		})
	}
}

// One odd row kept a configuration out of force: a moved route kept its old service, and an
// instance that started served nothing.
func TestOddRowOfConfigurationHarmsNoOther(t *testing.T) {
	s := newSite(t, 2)
	a, b := newBackend(t, "i-a"), newBackend(t, "i-b")
	a.register(s.kv, "tienda", "ready", 1)
	b.register(s.kv, "premios", "ready", 1)
	configure(s.kv, 1, "/", "tienda")
	s.waitAll("/x/1", 200, "i-a")
	s.kv.Put("op/config", fmt.Appendf(nil, `{"version":2,
"routes":{"columns":["name","host","prefix","routeKind","timeoutMs","targetLatencyMs","priority","maxAttempts","service","trafficSplit"],
"rows":[["all",%[1]q,"/","unsafe",2000,1000,1,2,"tienda"],["r",%[1]q,"/x/","unsafe",2000,1e3,1.5,2.0,null,[{"service":"premios","weight":0.75}]],
["odd",%[1]q,"/z/","unsafe",2000,1000,1,2,{"name":"tienda"}], 7]},
"services":{"columns":["name","healthPath","maxConns"],"rows":[["tienda","/health",1e999],["premios","/health",260],[7]]},"limits":{"idleTimeoutMs":"long"}}`, host))
	s.waitAll("/x/1", 200, "i-b")
	s.list = append(s.list, s.start(2))
	s.waitAll("/x/1", 200, "i-b")
	s.waitAll("/y/1", 200, "i-a")
	s.waitAll("/z/1", 503, "route-unreadable")
}
