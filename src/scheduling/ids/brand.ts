declare const brand: unique symbol;

/**
 * A value of one kind that the compiler keeps apart from values of other kinds, and from plain ones. Costs nothing at
 * run time; whoever reads a value from outside gives it its brand.
 */
export type Brand<Value, Name extends string> = Value & { readonly [brand]: Name };
