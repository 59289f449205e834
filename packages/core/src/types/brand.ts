declare const brand: unique symbol;

/**
 * A base type with a nominal tag; values are made only by the constructor
 * function of the tag.
 */
export type Branded<Base, Name extends string> = Base & {
  readonly [brand]: Name;
};
