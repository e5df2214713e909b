#include <LibConfiguration/Declarations.h>

#include <LibConfiguration/DeclarationJson.h>
#include <LibCore/JsonObjectReader.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace Fuchsiastep {

static constexpr std::array<ObjectKind, 4> Kinds {ObjectKind::Service, ObjectKind::Upstream, ObjectKind::Selector, ObjectKind::Workspace};

static Result<std::string> tryReadFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    std::string text {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
    if (!stream.good() && !stream.eof()) {
        return Error {ErrorCode::FileUnreadable, path};
    }
    return text;
}

static Result<std::vector<std::string>> tryListFiles(const std::string &path)
{
    std::error_code error;
    if (!std::filesystem::is_directory(path, error)) {
        return std::vector<std::string> {path};
    }
    std::vector<std::string> files;
    std::filesystem::directory_iterator entries(path, error);
    for (; !error && entries != std::filesystem::directory_iterator(); entries.increment(error)) {
        if (entries->path().extension() == ".json") {
            files.push_back(entries->path().string());
        }
    }
    if (error) {
        return Error {ErrorCode::FileUnreadable, path + ": " + error.message()};
    }
    // An empty set would ask for the removal of every object, which a mistyped path must not do.
    if (files.empty()) {
        return Error {ErrorCode::FileUnreadable, path + ": no *.json file"};
    }
    std::sort(files.begin(), files.end());
    return files;
}

/// One error with a line for each of \a errors and the code of the first.
static Error joinErrors(const std::vector<Error> &errors)
{
    Error joined {errors.front().code, {}};
    for (const Error &error : errors) {
        joined.detail += (joined.detail.empty() ? "" : "\n") + error.detail;
    }
    return joined;
}

Result<Declarations> Declarations::tryRead(const std::string &path)
{
    const Result<std::vector<std::string>> files = tryListFiles(path);
    if (isError(files)) {
        return errorOf(files);
    }
    Declarations declarations;
    std::vector<Error> errors;
    for (const std::string &file : valueOf(files)) {
        const Result<std::string> text = tryReadFile(file);
        if (isError(text)) {
            errors.push_back(errorOf(text));
        } else {
            declarations.readText(valueOf(text), file, errors);
        }
    }
    return errors.empty() ? Result<Declarations>(std::move(declarations)) : joinErrors(errors);
}

Result<Declarations> Declarations::tryParse(std::string_view text, const std::string &file)
{
    Declarations declarations;
    std::vector<Error> errors;
    declarations.readText(text, file, errors);
    return errors.empty() ? Result<Declarations>(std::move(declarations)) : joinErrors(errors);
}

Declarations Declarations::of(const Configuration &configuration)
{
    Declarations declarations;
    configuration.forEachObject([&](const DeclaredObject &object) { declarations.m_objects.emplace(nameOf(object), object); });
    return declarations;
}

void Declarations::readText(std::string_view text, const std::string &file, std::vector<Error> &errors)
{
    const Result<JsonValue> value = JsonValue::tryParse(text);
    if (isError(value)) {
        errors.push_back({ErrorCode::DeclarationMalformed, file + ": " + errorOf(value).detail});
        return;
    }
    std::vector<Error> fileErrors;
    JsonObjectReader reader(valueOf(value), "$", fileErrors);
    for (const ObjectKind kind : Kinds) {
        if (const JsonValue::Array *items = reader.optionalArray(declarationKey(kind))) {
            readList(kind, *items, file, errors);
        }
    }
    reader.finish();
    for (const Error &error : fileErrors) {
        errors.push_back({ErrorCode::DeclarationMalformed, file + ": " + error.detail});
    }
}

void Declarations::readList(ObjectKind kind, const JsonValue::Array &items, const std::string &file, std::vector<Error> &errors)
{
    const std::string prefix = file + ": ";
    for (std::size_t i = 0; i < items.size(); ++i) {
        const std::string path = "$." + std::string(declarationKey(kind)) + '[' + std::to_string(i) + ']';
        std::vector<Error> found;
        DeclaredObject object = readObject(kind, items[i], path, found);
        for (const Error &error : found) {
            errors.push_back({error.code, prefix + error.detail});
        }
        if (found.empty()) {
            add(std::move(object), prefix + path, errors);
        }
    }
}

void Declarations::add(DeclaredObject object, const std::string &where, std::vector<Error> &errors)
{
    const ObjectName name = nameOf(object);
    const auto [place, isNew] = m_places.emplace(name, where);
    if (!isNew) {
        errors.push_back({ErrorCode::DuplicateObject, where + ": " + name.toString() + " is also declared at " + place->second});
        return;
    }
    m_objects.emplace(name, std::move(object));
}

JsonValue Declarations::toJson() const
{
    std::array<JsonValue::Array, Kinds.size()> lists;
    for (const auto &[name, object] : m_objects) {
        lists.at(static_cast<std::size_t>(name.kind)).push_back(Fuchsiastep::toJson(object));
    }
    JsonValue::Object document;
    for (const ObjectKind kind : Kinds) {
        document.emplace(declarationKey(kind), std::move(lists.at(static_cast<std::size_t>(kind))));
    }
    return document;
}

std::vector<DeclarationChange> Declarations::changesFrom(const Configuration &configuration) const
{
    const Declarations current = of(configuration);
    std::vector<DeclarationChange> changes;
    for (const auto &[name, object] : m_objects) {
        const auto found = current.m_objects.find(name);
        if (found == current.m_objects.end()) {
            changes.push_back({ChangeAction::Create, name, std::nullopt, object});
        } else if (found->second != object) {
            changes.push_back({ChangeAction::Replace, name, found->second, object});
        }
    }
    for (const auto &[name, object] : current.m_objects) {
        if (!m_objects.contains(name)) {
            changes.push_back({ChangeAction::Remove, name, object, std::nullopt});
        }
    }
    std::sort(changes.begin(), changes.end(), [](const auto &left, const auto &right) { return left.name < right.name; });
    return changes;
}

} // namespace Fuchsiastep
