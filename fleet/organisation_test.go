package fleet

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestOrganisationsByTheirKeys(t *testing.T) {
	c := &Config{Organisations: []Organisation{
		{Name: "guthi", Keys: []APIKey{"key-1", "key-2"}, Priority: 1}, {Name: "trust", Keys: []APIKey{"key-3", "key-1"}}, {Name: "empty"},
	}}
	c.Index()
	for key, want := range map[APIKey]string{"key-1": "guthi", "key-2": "guthi", "key-3": "trust", "key-4": "", "": "", "KEY-1": ""} {
		got := ""
		if o := c.Organisation(key); o != nil {
			got = o.Name
		}
		if got != want {
			t.Errorf("the key belongs to %q, want %q", got, want)
		}
	}
	if o := c.OrganisationByName("trust"); o == nil || o.Name != "trust" || c.OrganisationByName("none") != nil {
		t.Errorf("got %v", o)
	}
	if !c.HasOrganisations() || (&Config{}).HasOrganisations() {
		t.Error("HasOrganisations must be true with organisations and false without")
	}
}

// TestKeysAreNotPrinted formats a configuration in all ways that logs, errors and dumps use, and
// checks that no key appears.
func TestKeysAreNotPrinted(t *testing.T) {
	c := &Config{Organisations: []Organisation{{Name: "guthi", Keys: []APIKey{"secret-1"}}}}
	c.Index()
	asJSON, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{
		string(asJSON), fmt.Sprint(c.Organisations), fmt.Sprintf("%+v", c), fmt.Sprintf("%#v", c),
	} {
		if strings.Contains(text, "secret") || strings.Contains(text, fmt.Sprintf("%x", "secret")) {
			t.Errorf("a key appears in %s", text)
		}
	}
}

func TestRoutesForJobs(t *testing.T) {
	c := &Config{Routes: []Route{
		{Host: "keyed", Prefix: "/b/", Kind: KindBatch}, {Host: "open", Prefix: "/b/", Kind: KindBatch, Anonymous: true},
		{Host: "both", Prefix: "/b/", Kind: KindBatch}, {Host: "both", Prefix: "/o/", Kind: KindBatch, Anonymous: true},
		{Host: "keyed", Prefix: "/p/", Kind: KindSafe, Anonymous: true},
	}}
	c.Index()
	for host, want := range map[string][2]bool{"keyed": {true, false}, "open": {false, true}, "both": {true, true}, "none": {}} {
		if keyed, anonymous := c.JobRoutes(host); keyed != want[0] || anonymous != want[1] {
			t.Errorf("%s: keyed %v, anonymous %v", host, keyed, anonymous)
		}
	}
}

func TestAgeOfTheConfiguration(t *testing.T) {
	v := NewView()
	now := time.Now()
	if v.ConfigAge(now) < time.Hour {
		t.Error("the configuration was never confirmed")
	}
	v.ConfirmConfig(now)
	if age := v.ConfigAge(now.Add(2 * time.Second)); age != 2*time.Second {
		t.Errorf("got %s", age)
	}
	// The monotonic clock was stopped while the wall clock went on.
	afterSuspend := now.Round(0).Add(9 * time.Second)
	if age := v.ConfigAge(afterSuspend); age != 9*time.Second {
		t.Errorf("after a suspension: %s", age)
	}
}
