/** Looks up the effective value of a setting for a team, model, service or engine. */
import type { ConfigurationContent } from './content';
import { isSettingName, SETTINGS, valueProblem } from './setting';
import type { ScopeKind, SettingName, SettingValues } from './setting';

/**
 * Names of the team, model, service and engine that a lookup is for; an
 * exception for any of them may apply.
 */
export type SettingContext = Readonly<Partial<Record<ScopeKind, string>>>;

/** Precedence of exceptions by scope, the narrowest first. */
export const SCOPE_ORDER: readonly ScopeKind[] = [
  'engine',
  'team',
  'model',
  'service',
];

function key(setting: string, kind: ScopeKind, name: string): string {
  return `${setting}\n${kind}\n${name}`;
}

export class EffectiveSettings {
  readonly #defaults = new Map<string, unknown>();
  readonly #exceptions = new Map<string, unknown>();
  #ignoredCount = 0;

  constructor(content: ConfigurationContent) {
    for (const [setting, value] of Object.entries(content.defaults)) {
      if (this.#isUsable(setting, value)) {
        this.#defaults.set(setting, value);
      }
    }
    for (const { setting, scope, value } of content.exceptions) {
      if (this.#isUsable(setting, value)) {
        this.#exceptions.set(key(setting, scope.kind, scope.name), value);
      }
    }
  }

  /**
   * Number of stored values that this router ignores, because the setting is
   * unknown or the value invalid.
   */
  get ignoredCount(): number {
    return this.#ignoredCount;
  }

  /**
   * Returns the effective value: the narrowest exception, else the default that
   * operators set, else the built-in value.
   */
  get<Name extends SettingName>(
    setting: Name,
    context: SettingContext = {},
  ): SettingValues[Name] {
    return this.find(setting, context) ?? this.#builtIn(setting);
  }

  /**
   * Returns the value that operators set, as an exception or a default;
   * undefined when there is none.
   */
  find<Name extends SettingName>(
    setting: Name,
    context: SettingContext = {},
  ): SettingValues[Name] | undefined {
    return this.#lookUp(setting, context) as SettingValues[Name] | undefined;
  }

  #builtIn<Name extends SettingName>(setting: Name): SettingValues[Name] {
    return SETTINGS[setting].builtIn as SettingValues[Name];
  }

  #lookUp(setting: SettingName, context: SettingContext): unknown {
    if (this.#exceptions.size > 0) {
      for (const kind of SCOPE_ORDER) {
        const name = context[kind];
        const value =
          name === undefined
            ? undefined
            : this.#exceptions.get(key(setting, kind, name));
        if (value !== undefined) {
          return value;
        }
      }
    }
    return this.#defaults.get(setting);
  }

  #isUsable(setting: string, value: unknown): boolean {
    const isUsable =
      isSettingName(setting) && valueProblem(setting, value) === undefined;
    this.#ignoredCount += isUsable ? 0 : 1;
    return isUsable;
  }
}
