package schema

// FillDefaults writes the schema's "default" values into the tree where keys
// are absent. Objects that are absent are not made.
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

// IsString reports whether the schema wants a string where the tokens lead.
func (c *Checker) IsString(tokens []string) bool {
	return c.typeAt(tokens) == "string"
}

// typeAt returns the type that the schema wants where the tokens lead.
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
