package group_test

import (
	"fmt"
	"time"

	"github.com/chicorystall/chicorystall/pkg/group"
	"github.com/chicorystall/chicorystall/pkg/placement"
)

func ExampleCheck_Whole() {
	var check group.Check
	_, err := check.Whole(placement.State{}, "draft", nil, time.Now())
	fmt.Println(err)
	// Output:
	// group "draft" is not whole: it does not exist
}
