package measure

import "testing"

func TestGroupRepair(t *testing.T) { wantTable(t, GroupRepair(1), 27) }

func TestGroupLoads(t *testing.T) { wantTable(t, GroupLoads(1), 2) }
