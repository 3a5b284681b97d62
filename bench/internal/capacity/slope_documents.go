package capacity

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/document"
	"comfreyrelay.example/relay/revision"
	"comfreyrelay.example/relay/wire"
)

// Cases of the document benchmark.
const (
	caseChangeBytes    = "changeBytes/customers"
	caseDocumentBytes  = "documentBytes/customers"
	caseDocumentMillis = "documentJoinMillis/customers"
)

// measureDocuments prints the bytes that a change to one customer transfers to a
// process that has the previous revision, the bytes of all parts, and the time to
// join the parts.
func measureDocuments(lines *printer) error {
	for _, customers := range []int{10, 100, 1_000, 10_000} {
		before, after := deploymentDocument(customers), deploymentDocument(customers)
		after.Customers[customers/2].RequestsPerSecond++
		held := rootOf(66_000, document.Split(before))
		next := document.Split(after)
		root := rootOf(66_001, next)
		delta := revision.Delta(held, root)
		contents := map[string][]byte{}
		total := 0
		for _, part := range next {
			contents[part.Part().GetHash()] = part.Bytes()
			total += len(part.Bytes())
		}
		moved := proto.Size(delta)
		for _, part := range delta.GetParts() {
			moved += len(contents[part.GetHash()])
		}
		lines.line(caseChangeBytes, customers, float64(moved), "bytes")
		lines.line(caseDocumentBytes, customers, float64(total), "bytes")
		var err error
		lines.line(caseDocumentMillis, customers, microsPerCall(func() {
			_, err = document.Join(root, func(hash string) []byte { return contents[hash] })
		})/1_000, "milliseconds")
		if err != nil {
			return err
		}
	}
	return nil
}

// rootOf returns the document root in the form that processes exchange.
func rootOf(number uint32, parts []document.PartBytes) *wire.Root {
	const identifier = "0192d1f0-0000-7000-8000-000000000000"
	root := &wire.Root{Revision: number, SubmissionId: identifier, Audit: &wire.Audit{Revision: number}}
	for _, part := range parts {
		root.Parts = append(root.Parts, part.Part())
	}
	root.Audit.ContentHash = document.ContentHash(root.GetParts())
	return revision.Slim(root)
}

// deploymentDocument returns an example document with the given number of customers.
func deploymentDocument(customers int) *wire.Document {
	doc := document.Example()
	doc.Customers = nil
	doc.Models[0].Customers = nil
	for i := range customers {
		name := fmt.Sprintf("customer-%04d", i)
		doc.Customers = append(doc.Customers, &wire.Customer{
			Name: name, KeyHashes: []string{document.KeyHash(name)}, Weight: 1, RequestsPerSecond: 200, TokensPerSecond: 20_000, Priority: 5,
		})
		doc.Models[0].Customers = append(doc.Models[0].Customers, name)
	}
	return doc
}
