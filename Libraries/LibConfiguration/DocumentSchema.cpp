#include "Libraries/LibConfiguration/DocumentSchema.h"

#include "Libraries/LibCore/Reason.h"

#include <memory>
#include <string>

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace cornellift::configuration {
namespace {

// Names are checked in code, not by "pattern": the library compiles the pattern again for each
// value, which would take most of the time to validate 1,400 endpoints.
constexpr std::string_view SchemaText = R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "cornellift configuration",
  "type": "object",
  "additionalProperties": false,
  "required": ["services", "teams", "endpoints"],
  "properties": {
    "services": {"type": "object", "maxProperties": 256, "additionalProperties": {"$ref": "#/definitions/service"}},
    "teams": {"type": "object", "maxProperties": 1000, "additionalProperties": {"$ref": "#/definitions/team"}},
    "endpoints": {"type": "object", "maxProperties": 4000, "additionalProperties": {"$ref": "#/definitions/endpoint"}},
    "policy": {"$ref": "#/definitions/policy"},
    "limits": {"$ref": "#/definitions/limits"}
  },
  "definitions": {
    "name": {"type": "string", "minLength": 1, "maxLength": 63},
    "resources": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "processors": {"type": "number", "minimum": 0, "maximum": 1024},
        "memory_mb": {"type": "number", "minimum": 0, "maximum": 16777216},
        "accelerators": {"type": "number", "minimum": 0, "maximum": 64}
      }
    },
    "kind": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "expected_run_time_ms": {"type": "number", "minimum": 1, "maximum": 3600000},
        "needed": {"$ref": "#/definitions/resources"}
      }
    },
    "service": {
      "type": "object",
      "additionalProperties": false,
      "required": ["kinds"],
      "properties": {
        "message_cost_ms": {"type": "number", "minimum": 0, "maximum": 60000},
        "kinds": {
          "type": "object",
          "minProperties": 1,
          "maxProperties": 256,
          "additionalProperties": {"$ref": "#/definitions/kind"}
        }
      }
    },
    "team": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "quota_share": {"type": "number", "minimum": 0.001, "maximum": 1000000},
        "maximum_queued_tasks": {"type": "integer", "minimum": 0, "maximum": 1000000}
      }
    },
    "endpoint": {
      "type": "object",
      "additionalProperties": false,
      "required": ["address", "data_centre", "rack", "services", "capacity"],
      "properties": {
        "address": {"type": "string", "minLength": 9, "maxLength": 53},
        "data_centre": {"$ref": "#/definitions/name"},
        "rack": {"$ref": "#/definitions/name"},
        "services": {
          "type": "array",
          "minItems": 1,
          "maxItems": 256,
          "uniqueItems": true,
          "items": {"$ref": "#/definitions/name"}
        },
        "slots": {"type": "integer", "minimum": 1, "maximum": 64},
        "connections": {"type": "integer", "minimum": 2, "maximum": 1024},
        "capacity": {
          "type": "object",
          "additionalProperties": false,
          "required": ["processors", "memory_mb"],
          "properties": {
            "processors": {"type": "number", "minimum": 0.001, "maximum": 1024},
            "memory_mb": {"type": "number", "minimum": 1, "maximum": 16777216},
            "accelerators": {"type": "number", "minimum": 0, "maximum": 64}
          }
        },
        "drained": {"type": "boolean"}
      }
    },
    "policy": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "placement": {"$ref": "#/definitions/name"},
        "ordering": {"$ref": "#/definitions/name"},
        "admission": {"$ref": "#/definitions/name"},
        "ageing_per_second": {"type": "number", "minimum": 0, "maximum": 10},
        "evidence_half_life_s": {"type": "number", "minimum": 1, "maximum": 86400},
        "maximum_ejected_share": {"type": "number", "minimum": 0, "maximum": 1},
        "retry_share": {"type": "number", "minimum": 0, "maximum": 1},
        "retries_per_second": {"type": "number", "minimum": 0, "maximum": 1000}
      }
    },
    "limits": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "maximum_tasks_per_job": {"type": "integer", "minimum": 1, "maximum": 10000},
        "maximum_queued_tasks": {"type": "integer", "minimum": 1, "maximum": 10000000},
        "maximum_queued_bytes": {"type": "integer", "minimum": 65536, "maximum": 4294967296},
        "maximum_outcome_bytes": {"type": "integer", "minimum": 65536, "maximum": 4294967296},
        "identifier_lifetime_s": {"type": "number", "minimum": 1, "maximum": 86400},
        "outcome_lifetime_s": {"type": "number", "minimum": 1, "maximum": 3600}
      }
    }
  }
})json";

/// The schema, parsed once because each change is validated.
const valijson::Schema &schema() {
  static const auto Parsed = [] {
    auto Result = std::make_unique<valijson::Schema>();
    auto Source = nlohmann::json::parse(SchemaText);
    valijson::SchemaParser().populateSchema(valijson::adapters::NlohmannJsonAdapter(Source),
                                            *Result);
    return Result;
  }();
  return *Parsed;
}

std::string describeFirstError(valijson::ValidationResults &Results) {
  // The library reports the innermost error first.
  valijson::ValidationResults::Error First;
  if (!Results.popError(First))
    return "the document does not match the schema";
  std::string Path;
  for (const auto &Step : First.context)
    Path += Step == "<root>" ? "" : Step;
  return (Path.empty() ? std::string("document") : Path) + ": " + First.description;
}

} // namespace

std::string_view documentSchemaText() { return SchemaText; }

bool matchesDocumentSchema(const nlohmann::json &Value) {
  valijson::ValidationResults Results;
  valijson::Validator Check;
  if (Check.validate(schema(), valijson::adapters::NlohmannJsonAdapter(Value), &Results))
    return true;
  return core::failFalse(core::ErrorKind::Malformed,
                         describeFirstError(Results) +
                             "; correct the field as docs/CONFIGURATION.md describes it");
}

} // namespace cornellift::configuration
