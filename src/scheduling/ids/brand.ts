declare const brand: unique symbol;

/**
 * A branded type: the compiler distinguishes it from values with other brands and from plain values. It has no cost at
 * run time. The code that reads a value from outside the process casts it to its brand.
 */
export type Brand<Value, Name extends string> = Value & { readonly [brand]: Name };
