package platform_test

import (
	"context"
	"fmt"

	fake "github.com/chicorystall/chicorystall/internal/fake/platform"
	"github.com/chicorystall/chicorystall/internal/platform"
)

func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := fake.New(fake.Config{})
	if err := p.Start(ctx, "127.0.0.1:0"); err != nil {
		fmt.Println(err)
		return
	}
	client := platform.New(p.Address())
	defer client.Close()
	log := client.Log()
	offset, err := log.Append(ctx, "config", []byte("first"))
	fmt.Println(offset, err)
	page, err := log.Read(ctx, "config", 1, 10, 0)
	fmt.Println(string(page.Entries[0].Data), page.Next, err)
	// Output:
	// 1 <nil>
	// first 2 <nil>
}
