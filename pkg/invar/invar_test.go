package invar_test

import (
	"fmt"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/invar"
	"gotest.tools/v3/assert"
)

func TestViolationPanicsWithoutHandler(t *testing.T) {
	defer func() { assert.Equal(t, recover(), "invariant violated: one is two") }()
	invar.Holds(1 == 2, "one is two")
}

func ExampleHolds() {
	fmt.Println(invar.Holds(true, "work that ends has been admitted"))
	// Output: true
}
