/** Looks up a setting for one team, model, service or engine. */
import type { ConfigurationContent } from './content';
import { isSettingName, SETTINGS, valueProblem } from './setting';
import type { ScopeKind, SettingName, SettingValues } from './setting';

/** What a lookup is about; exceptions of any part of it may apply. */
export type SettingContext = Readonly<Partial<Record<ScopeKind, string>>>;

/** Order in which exceptions win over each other: the narrowest first. */
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
  #ignored = 0;

  constructor(content: ConfigurationContent) {
    for (const [setting, value] of Object.entries(content.defaults)) {
      if (this.#usable(setting, value)) {
        this.#defaults.set(setting, value);
      }
    }
    for (const { setting, scope, value } of content.exceptions) {
      if (this.#usable(setting, value)) {
        this.#exceptions.set(key(setting, scope.kind, scope.name), value);
      }
    }
  }

  /** Values that this router does not know or accept and so does not use. */
  get ignoredCount(): number {
    return this.#ignored;
  }

  /** Returns the value in force: the narrowest exception, the default, or the built-in one. */
  get<Name extends SettingName>(
    setting: Name,
    subject: SettingContext = {},
  ): SettingValues[Name] {
    return this.find(setting, subject) ?? this.#builtIn(setting);
  }

  /** Returns the value that operators set, if they did. */
  find<Name extends SettingName>(
    setting: Name,
    subject: SettingContext = {},
  ): SettingValues[Name] | undefined {
    return this.#lookUp(setting, subject) as SettingValues[Name] | undefined;
  }

  #builtIn<Name extends SettingName>(setting: Name): SettingValues[Name] {
    return SETTINGS[setting].builtIn as SettingValues[Name];
  }

  #lookUp(setting: SettingName, subject: SettingContext): unknown {
    if (this.#exceptions.size > 0) {
      for (const kind of SCOPE_ORDER) {
        const name = subject[kind];
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

  #usable(setting: string, value: unknown): boolean {
    const usable =
      isSettingName(setting) && valueProblem(setting, value) === undefined;
    this.#ignored += usable ? 0 : 1;
    return usable;
  }
}
