package document_test

import (
	"fmt"
	"strings"
	"testing"

	"comfreyrelay.example/relay/document"
)

func BenchmarkParse(b *testing.B) {
	for _, count := range []int{10, 1000, 4000} {
		text := document.Format(withCustomers(count))
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.SetBytes(int64(len(text)))
			for b.Loop() {
				if _, problems := document.Parse(text); len(problems) > 0 {
					b.Fatal(problems)
				}
			}
		})
	}
}

// BenchmarkParseHostile parses the most expensive inputs known, at the maximum
// allowed size.
func BenchmarkParseHostile(b *testing.B) {
	for name, piece := range map[string]string{"wrongItems": "1,", "numbers": "1e30,", "emptyObjects": "{},", "nested": "[[[[1]]]],"} {
		const mostValues = 99_000
		head, tail := `{"customers":[`, `1]}`
		text := []byte(head + strings.Repeat(piece, (document.MaxBytes-len(head)-len(tail))/len(piece)) + tail)
		if len(piece) <= len("{},") {
			fewer := []byte(head + strings.Repeat(piece, mostValues) + tail)
			b.Run(name+"WithinTheCount", func(b *testing.B) {
				for b.Loop() {
					if _, problems := document.Parse(fewer); len(problems) == 0 {
						b.Fatal("got no problems, want some")
					}
				}
			})
		}
		b.Run(name, func(b *testing.B) {
			b.SetBytes(int64(len(text)))
			for b.Loop() {
				if _, problems := document.Parse(text); len(problems) == 0 {
					b.Fatal("got no problems, want some")
				}
			}
		})
	}
}
