package group

import (
	"testing"

	"github.com/chicorystall/chicorystall/internal/oracle"
)

func TestMain(m *testing.M) { oracle.Main(m, 200, 120) }
