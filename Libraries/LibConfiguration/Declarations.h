#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibConfiguration/DeclarationChange.h>
#include <LibCore/JsonValue.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Fuchsiastep {

/// The objects that operators declare in JSON files.
class Declarations
{
public:
    /// Reads a file, or every *.json file of a directory in ascending order of the names. Fails with FileUnreadable,
    /// DeclarationMalformed or DuplicateObject. The detail has a line for each error, which names file, object and field path.
    static Result<Declarations> tryRead(const std::string &path);
    /// Reads one text; \a file names it in errors. Fails like tryRead().
    static Result<Declarations> tryParse(std::string_view text, const std::string &file);
    /// Every object of \a configuration.
    static Declarations of(const Configuration &configuration);

    const std::map<ObjectName, DeclaredObject> &objects() const
    {
        return m_objects;
    }

    /// The JSON form that tryParse() reads.
    JsonValue toJson() const;

    /// What makes \a configuration equal to this set, in ascending order of the object names. An object that
    /// is not declared is removed.
    std::vector<DeclarationChange> changesFrom(const Configuration &configuration) const;

private:
    void readText(std::string_view text, const std::string &file, std::vector<Error> &errors);
    void readList(ObjectKind kind, const JsonValue::Array &items, const std::string &file, std::vector<Error> &errors);
    void add(DeclaredObject object, const std::string &where, std::vector<Error> &errors);

    std::map<ObjectName, DeclaredObject> m_objects;
    /// Where each object was declared, to name both places of a duplicate.
    std::map<ObjectName, std::string> m_places;
};

} // namespace Fuchsiastep
