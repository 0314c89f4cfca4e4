package configcheck

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/catkinrouter/catkinrouter/discovery"
)

// document returns a document with the given rows of the three tables.
func document(routes, services, customers string) string {
	return fmt.Sprintf(`{"version":7,
"routes":{"columns":["name","host","prefix","routeKind","timeoutMs","targetLatencyMs","service","trafficSplit"],"rows":[%s]},
"services":{"columns":["name","healthPath","maxConns","coldPerS"],"rows":[%s]},
"tenants":{"columns":["name","apiKeys","priority","ratePerS","burst"],"rows":[%s]},"limits":{}}`, routes, services, customers)
}

const (
	goodRoute    = `["r1","a.example","/x/","safe",1000,300,"s1",null]`
	goodService  = `["s1","/health",260,5]`
	goodCustomer = `["c1",["key-of-c1"],1,10,5]`
)

func mustDecode(t *testing.T, text string) *View {
	t.Helper()
	v, invalid := Decode([]byte(text))
	if invalid != nil {
		t.Fatalf("%s: %+v", text, invalid)
	}
	return v
}

// site has 19 instances and upstreams for 300 requests a second.
var site = Site{Instances: 19, Upstreams: []*discovery.Upstream{{ID: "u", Service: "s1", Slots: 30}, {ID: "d", Service: "s1", Slots: 30, Draining: true}}}

// Each rule must flag what it is for, by its location, and nothing that is close to it.
func TestRules(t *testing.T) {
	routes := func(more string) string { return document(goodRoute+","+more, goodService, goodCustomer) }
	services := func(more string) string { return document(goodRoute, goodService+","+more, goodCustomer) }
	customers := func(more string) string { return document(goodRoute, goodService, goodCustomer+","+more) }
	for _, c := range []struct {
		name, flagged, passed string
		severity              Severity
		location              string // section, name and field
		what                  string
	}{
		{"unreadable field", routes(`["r2","a.example","/y/","safe",1000,"soon","s1",null]`), routes(`["r2","a.example","/y/","safe",1000,null,"s1",null]`), Error, "routes r2 targetLatencyMs", "taken as"},
		{"shadowed route", routes(`["r2","A.example","/x/","safe",1000,300,"s1",null]`), routes(`["r2","a.example","/x/y/","safe",1000,300,"s1",null],["r3","b.example","/x/","safe",1000,300,"s1",null]`), Warning, "routes r2 prefix", `route "r1"`},
		{"host with a port", routes(`["r2","b.example:80","/x/","safe",1000,300,"s1",null]`), routes(`["r2","b.example","/x/","safe",1000,300,"s1",null]`), Warning, "routes r2 host", "without a port"},
		{"service without a route", services(`["s2","/health",260,5]`), document(goodRoute+`,["r2","b.example","/","safe",1000,300,null,[{"service":"s2","weight":1}]]`, goodService+`,["s2","/health",260,5]`, goodCustomer), Warning, "services s2 ", "no route"},
		{"service of a route without weight", document(goodRoute+`,["r2","b.example","/","safe",1000,300,null,[{"service":"s1","weight":1},{"service":"s2","weight":0}]]`, goodService+`,["s2","/health",260,5]`, goodCustomer), document(goodRoute, goodService, goodCustomer), Warning, "services s2 ", "no route"},
		{"customer without a key", customers(`["c2",[],1,10,5]`), customers(`["c2",["key-of-c2"],1,10,5]`), Warning, "tenants c2 apiKeys", "no key"},
		{"key that two customers hold", customers(`["c2",["key-of-c1"],1,10,5]`), customers(`["c2",["key-of-c2","key-of-c2"],1,10,5]`), Error, "tenants c2 apiKeys", `"c1"`},
		{"target above the timeout", routes(`["r2","a.example","/y/","safe",1000,1001,"s1",null]`), routes(`["r2","a.example","/y/","safe",1000,1000,"s1",null]`), Warning, "routes r2 targetLatencyMs", "timeout"},
		{"burst below one request", customers(`["c2",["k2"],1,10,0.9]`), customers(`["c2",["k2"],1,10,1],["c3",["k3"],1,10,0]`), Warning, "tenants c2 burst", "0.9"},
		{"rate below one a minute", customers(`["c2",["k2"],1,0.016,5]`), customers(`["c2",["k2"],1,0.017,5],["c3",["k3"],1,0,5]`), Warning, "tenants c2 ratePerS", "minute"},
		{"rates above the capacity", customers(`["c2",["k2"],1,291,5]`), customers(`["c2",["k2"],1,290,5]`), Warning, "tenants  ratePerS", "301"},
		{"connections below the instances", document(goodRoute, `["s1","/health",18,5]`, goodCustomer), document(goodRoute, `["s1","/health",19,5]`, goodCustomer), Warning, "services s1 maxConns", "18"},
		{"cold rate", document(goodRoute, `["s1","/health",260,0.09]`, goodCustomer), document(goodRoute, `["s1","/health",260,0.1]`, goodCustomer), Warning, "services s1 coldPerS", "0.09"},
	} {
		found := Check(mustDecode(t, c.flagged), site)
		if len(found) != 1 {
			t.Errorf("%s: %d findings, want 1: %+v", c.name, len(found), found)
			continue
		}
		f := found[0]
		if f.Severity != c.severity || f.Section+" "+f.Name+" "+f.Field != c.location || !strings.Contains(f.What, c.what) || f.Remedy == "" {
			t.Errorf("%s: %+v", c.name, f)
		}
		if strings.Contains(f.What, "key-of-") {
			t.Errorf("%s: the finding holds a key: %+v", c.name, f)
		}
		if found := Check(mustDecode(t, c.passed), site); len(found) > 0 {
			t.Errorf("%s: what must pass has the findings %+v", c.name, found)
		}
	}
}

// Without the flags that tell them, the number of instances and the upstreams are not guessed.
func TestUnknownSiteFlagsNothing(t *testing.T) {
	v := mustDecode(t, document(goodRoute, `["s1","/health",1,5]`, `["c1",["k"],1,1e6,5]`))
	if found := Check(v, Site{}); len(found) > 0 {
		t.Errorf("%+v", found)
	}
	if found := Check(v, Site{Upstreams: []*discovery.Upstream{}}); len(found) != 1 {
		t.Errorf("no upstreams at all: %+v", found)
	}
}

// Documents that tests of other packages take had findings.
func TestAcceptedDocumentsHaveNoFinding(t *testing.T) {
	for _, text := range []string{
		// internal/soak: crowds
		`{"version":1,"routes":{"columns":["name","host","prefix","routeKind","timeoutMs","targetLatencyMs","priority","maxAttempts","service"],"rows":[["buy","hunts.example","/buy/","unsafe",12000,2000,1,2,"s1"]]},
"services":{"columns":["name","healthPath","maxConns"],"rows":[["s1","/health",5000]]},"limits":{"maxBodyBytes":67108864}}`,
		// platform: TestDecodeDocument
		`{"version":7,
 "routes":{"columns":["name","host","prefix","routeKind","timeoutMs","targetLatencyMs","priority","trafficSplit","maxAttempts","service"],
  "rows":[["r1","a.example","/x/","safe",1000,400,2,[{"service":"s1","weight":90},{"service":"s2","weight":10}],2,null],
          ["r2","b.example","/y/z/","unsafe",1200.5,500,1,null,0,"s3"]]},
 "services":{"columns":["name","healthPath","maxConns","protocol","tls"],"rows":[["s1","/health",260,"h1",false]]},
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1024,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"baseVersion":5}`,
		// node: configure
		`{"version":1,"routes":{"columns":["name","host","prefix","routeKind","timeoutMs","targetLatencyMs","priority","maxAttempts","service"],
"rows":[["r","hunts.example","/","unsafe",2000,1000,1,2,"tienda"]]},
"services":{"columns":["name","healthPath","maxConns"],"rows":[["tienda","/health",260]]},"limits":{}}`,
	} {
		if found := Check(mustDecode(t, text), Site{Instances: 19}); len(found) > 0 {
			t.Errorf("%.60s: %+v", text, found)
		}
	}
}

// A document cut at some byte passed, or had an error that doesn't say where.
func TestTruncatedDocument(t *testing.T) {
	text := document(goodRoute, goodService, goodCustomer)
	for n := range text {
		_, f := Decode([]byte(text[:n]))
		if f == nil || f.Severity != Error || !strings.Contains(f.What, "line ") || strings.Contains(f.What, "key-of") {
			t.Errorf("cut after %d bytes: %+v", n, f)
		}
	}
}

// A document of another shape had an error in the terms of the program.
func TestUnreadableDocument(t *testing.T) {
	for text, want := range map[string]string{
		`{"routes":7,"version":1}`: "wrong type", `{"routes":{}}`: "version is missing", `{"version":1.5}`: "not a whole number", `[]`: "wrong type",
	} {
		if _, f := Decode([]byte(text)); f == nil || !strings.Contains(f.What, want) || strings.Contains(f.What, "Go ") {
			t.Errorf("%s: %+v", text, f)
		}
	}
}

// A difference was missing, or showed a key.
func TestCompare(t *testing.T) {
	before := mustDecode(t, document(goodRoute+`,["r2","a.example","/old/","safe",1000,300,"s1",null]`, goodService, goodCustomer))
	after := mustDecode(t, strings.Replace(document(`["r1","a.example","/x/","safe",1200,300,null,[{"service":"s1","weight":9},{"service":"s2","weight":1}]]`,
		goodService+`,["s2","/health",260,5]`, `["c1",["key-of-c1","new-key-of-c1"],null,20,5]`), `"version":7`, `"version":8`, 1))
	var got []string
	for _, d := range Compare(before, after) {
		if d.Kind == Changed || d.Field == "" {
			got = append(got, fmt.Sprintf("%s %s %s %s %s>%s", d.Kind, d.Section, d.Name, d.Field, d.From, d.To))
		}
	}
	want := []string{
		"changed document  version 7>8", "removed routes r2  >", "changed routes r1 service s1>s1:9 s2:1", "changed routes r1 timeoutMs 1s>1.2s",
		"added services s2  >", "changed tenants c1 priority 1>of the route", "changed tenants c1 ratePerS 10>20",
		// The first 8 digits of the SHA-256 of the keys, by sha256sum.
		"changed tenants c1 apiKeys 72e19502>72e19502 d463f181",
	}
	if !slices.Equal(got, want) {
		t.Errorf("got  %q\nwant %q", got, want)
	}
	if same := Compare(after, after); len(same) > 0 {
		t.Errorf("a document differs from itself: %+v", same)
	}
}
