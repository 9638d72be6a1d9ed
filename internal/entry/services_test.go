package entry

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/pkg/fleet"
)

func TestIsNonIdempotent(t *testing.T) {
	service := fleet.Service{NonIdempotent: []string{"POST /orders", "POST /orders/{number}/reprint", "DELETE /plates/*"}}
	tests := []struct {
		method, path string
		want         bool
	}{
		{"POST", "/orders", true},
		{"POST", "/orders/", true},
		{"POST", "//orders", true},
		{"POST", "/./orders", true},
		{"POST", "/%6Frders", true},
		{"POST", "/orders/7/reprint", true},
		{"POST", "/orders/7%2Freprint", true},
		{"POST", "/%zz", true},
		{"DELETE", "/plates/7/proof", true},
		{"GET", "/orders", false},
		{"POST", "/orders/7", false},
		{"POST", "/orders/7/cancel", false},
		{"POST", "/proofs", false},
	}
	for _, tt := range tests {
		t.Run(tt.method+" "+tt.path, func(t *testing.T) {
			NewWithT(t).Expect(isNonIdempotent(service, tt.method, tt.path)).To(Equal(tt.want))
		})
	}
}
