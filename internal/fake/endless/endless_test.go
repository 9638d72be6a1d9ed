package endless_test

import (
	"bytes"
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/fake/endless"
)

func TestWriteStopsAtLimit(t *testing.T) {
	for _, part := range endless.Parts() {
		t.Run(part.String(), func(t *testing.T) {
			g := NewWithT(t)
			const limit, piece = 100 << 10, 64 << 10
			var b bytes.Buffer
			n, err := part.Write(&b, "X-Request-Id: r1\r\n", limit)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(n).To(And(BeNumerically(">=", limit), BeNumerically("<", limit+piece)))
			g.Expect(b.Len()).To(BeEquivalentTo(n))
			g.Expect(b.String()).To(HavePrefix("HTTP/1.1 "))
		})
	}
}

func TestPartTextRoundTrip(t *testing.T) {
	g := NewWithT(t)
	for _, part := range append(endless.Parts(), endless.None) {
		data, err := json.Marshal(part)
		g.Expect(err).NotTo(HaveOccurred())
		var back endless.Part
		g.Expect(json.Unmarshal(data, &back)).To(Succeed())
		g.Expect(back).To(Equal(part))
	}
	g.Expect(new(endless.Part).UnmarshalText([]byte("tail"))).To(MatchError(ContainSubstring("tail")))
}
