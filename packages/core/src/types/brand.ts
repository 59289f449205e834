declare const brand: unique symbol;

/** A value of a base type that only one constructor function hands out. */
export type Branded<Base, Name extends string> = Base & {
  readonly [brand]: Name;
};
