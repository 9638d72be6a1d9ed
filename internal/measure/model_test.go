package measure

import (
	"fmt"
	"strings"
	"testing"
)

func show(t Table) {
	fmt.Println(t.Name, "seed", t.Seed)
	fmt.Println(strings.Join(t.Columns, " | "))
	for _, r := range t.Rows {
		fmt.Println(strings.Join(r, " | "))
	}
	fmt.Println(t.Note)
}

func TestShowRouting(t *testing.T) { show(Routing(1)) }

func TestShowCold(t *testing.T) { show(LimitsColdStart(1)) }
func TestShowFair(t *testing.T) { show(RoutingFairness(1)) }
func TestShowDC(t *testing.T)   { show(RoutingDataCentre(1)) }
