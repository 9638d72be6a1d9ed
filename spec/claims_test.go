package spec

import "testing"

func TestClaims(t *testing.T) {
	const file = "claims.pml"
	tests := []struct{ without, verdict string }{
		{"", safe},
		{"NO_READ_BACK", violated},
		{"NO_WINNER_RELEASE", violated},
		{"NO_COVERAGE", violated},
		{"NO_SINGLE_USE", violated},
		{"NO_GIVEN_UP", violated},
		{"NO_ONE_VERDICT", violated},
		{"NO_FRESH_READ", violated},
		{"ANY_FIRST", violated},
	}
	for _, test := range tests {
		t.Run(file+" "+test.without, func(t *testing.T) {
			expectChecker(t, file, test.without, test.verdict)
		})
	}
}
