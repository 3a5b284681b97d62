package schema

// FillDefaults sets absent keys of the tree to the schema's "default" values. It
// does not create absent objects.
func (c *Checker) FillDefaults(tree any) {
	c.fill(c.raw, tree)
}

func (c *Checker) fill(sub, tree any) {
	object, ok := tree.(map[string]any)
	if !ok {
		return
	}
	for _, key := range c.knownKeys(sub) {
		property := c.property(sub, key)
		if _, present := object[key]; !present {
			if value, has := At(property, []string{"default"}); has {
				object[key] = value
			}
			continue
		}
		c.fill(property, object[key])
	}
}

// IsString reports whether the schema requires a string at the path.
func (c *Checker) IsString(tokens []string) bool {
	return c.typeAt(tokens) == "string"
}

// typeAt returns the schema's "type" of the value at the path.
func (c *Checker) typeAt(tokens []string) any {
	sub := c.raw
	for _, token := range tokens {
		holder := c.resolve(sub)
		if items, ok := At(holder, []string{"items"}); ok {
			sub = items
			continue
		}
		sub = c.property(holder, token)
	}
	kind, _ := At(c.resolve(sub), []string{"type"})
	return kind
}
