package catalog_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/pkg/catalog"
)

func example() *catalog.Catalog {
	return catalog.New(catalog.Content{
		Version: 7,
		Routes: []catalog.Route{
			{Name: "all", Host: "app.example", Prefix: "/"},
			{Name: "drafts", Host: "App.Example", Prefix: "/drafts/", Kind: catalog.Stream, Resumable: true},
			{Name: "open", Host: "open.example", Prefix: "/", Anonymous: true, Timeout: time.Second},
		},
		Services: []catalog.Service{{Name: "pool"}},
		Accounts: []catalog.Account{{Name: "library", Keys: []string{"k1", "k2"}}},
	})
}

func TestMatch(t *testing.T) {
	for _, c := range []struct{ host, path, route string }{
		{"app.example", "/drafts/1", "drafts"},
		{"APP.example:8080", "/drafts/1", "drafts"},
		{"app.example", "/drafts", "all"},
		{"app.example", "/other/drafts/", "all"},
		{"none.example", "/drafts/1", ""},
		{"open.example", "", ""},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			g := NewWithT(t)
			r, ok := example().Match(c.host, c.path)
			g.Expect(ok).To(Equal(c.route != ""))
			if ok {
				g.Expect(r.Name).To(Equal(c.route))
			}
		})
	}
}

func TestKeys(t *testing.T) {
	g := NewWithT(t)
	c := example()
	a, ok := c.Account("k2")
	g.Expect(ok).To(BeTrue())
	g.Expect(a.Name).To(Equal("library"))
	_, ok = c.Account("")
	g.Expect(ok).To(BeFalse())
	drafts, _ := c.Match("app.example", "/drafts/1")
	open, _ := c.Match("open.example", "/")
	g.Expect(c.NeedsKey(drafts)).To(BeTrue())
	g.Expect(c.NeedsKey(open)).To(BeFalse())
	g.Expect(catalog.New(catalog.Content{}).NeedsKey(drafts)).To(BeFalse(), "without accounts, no key is needed")
	last := catalog.New(catalog.Content{KeysRequired: true})
	g.Expect(last.NeedsKey(drafts)).To(BeTrue(), "the last account was removed")
	g.Expect(last.NeedsKey(open)).To(BeFalse())
}

// A request without a key must not belong to an account that lists an empty key.
func TestEmptyKeyIsNoKey(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New(catalog.Content{Accounts: []catalog.Account{{Name: "library", Keys: []string{"", "k"}}}})
	_, ok := c.Account("")
	g.Expect(ok).To(BeFalse())
	_, ok = c.Account("k")
	g.Expect(ok).To(BeTrue())
}

func TestTarget(t *testing.T) {
	r := catalog.Route{Targets: []catalog.Target{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}}}
	for _, c := range []struct {
		draw float64
		want string
	}{{0, "a"}, {0.89, "a"}, {0.91, "b"}, {0.999, "b"}} {
		g := NewWithT(t)
		g.Expect(r.Target(c.draw)).To(Equal(c.want))
	}
	g := NewWithT(t)
	g.Expect((&catalog.Route{}).Target(0.5)).To(BeEmpty())
}

func TestRepeatable(t *testing.T) {
	g := NewWithT(t)
	g.Expect((&catalog.Route{Kind: catalog.Safe}).Repeatable()).To(BeTrue())
	g.Expect((&catalog.Route{Kind: catalog.Unsafe, Resumable: true}).Repeatable()).To(BeFalse())
	g.Expect((&catalog.Route{Kind: catalog.Stream}).Repeatable()).To(BeFalse())
	g.Expect((&catalog.Route{Kind: catalog.Stream, Resumable: true}).Repeatable()).To(BeTrue())
}
